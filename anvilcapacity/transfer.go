package anvilcapacity

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilrevision"
)

// measureTransfer lets one node fetch a revision with one changed line from
// another. The mean is over changes in 24 places, because chunks differ in size.
func measureTransfer(ctx context.Context) ([]Slope, error) {
	sizes := []int{designDocument / 4, designDocument / 2, designDocument}
	slope := func(name, what string, targets ...Target) Slope {
		return Slope{
			Name:     "configuration-" + name,
			What:     what + ", without TCP and IP headers",
			Kind:     KindCount,
			Unit:     "bytes",
			SizeName: "bytes of the base file",
			Sizes:    floats(sizes),
			Targets:  targets,
		}
	}
	perDay := func(what string, budget BudgetName) Target {
		return Target{What: what, Size: designDocument, Factor: changesPerSec, Unit: "bytes/s", Limit: designBytes, Budget: budget}
	}
	one := slope("change-bytes", "manifest and chunks of a revision with one changed line, mean of 24 places, both directions together",
		perDay("received, 230 changes a day", BudgetControlReceived), perDay("sent to one other node", BudgetControlSent),
		Target{What: "received within the 7 s of a change", Size: designDocument, Factor: 1 / designSpread.Seconds(), Unit: "bytes/s", Limit: designBytes})
	most := slope("change-bytes-max", "the largest of them", Target{What: "one change", Size: designDocument, Unit: "bytes"})
	whole := slope("whole-bytes", "manifest and chunks for a fresh node",
		Target{What: "240 replacements and 17 failures a day, whole fleet", Size: designDocument, Factor: designReplacements + designFailures, Unit: "bytes/day"})
	for _, size := range sizes {
		leafs := size / bytesPerLeaf
		docs := documents(designNodes, leafs, size)
		all, err := transfer(ctx, nil, docs)
		if err != nil {
			return nil, err
		}
		sum, largest := 0.0, 0.0
		const places = 24
		for i := range places {
			n, err := transfer(ctx, docs, changed(docs, i*leafs/places))
			if err != nil {
				return nil, err
			}
			sum += n
			largest = max(largest, n)
		}
		one.Values = append(one.Values, sum/places)
		most.Values = append(most.Values, largest)
		whole.Values = append(whole.Values, all)
	}
	return []Slope{one, most, whole}, nil
}

// acceptAll stands in for the validation, which is measured apart.
func acceptAll([]anvilconfig.Document) anvilrevision.Judgement {
	return anvilrevision.Judgement{
		Release: &anvilconfig.Release{},
	}
}

// transferSeed feeds choices that do not change the bytes of a transfer.
const transferSeed = 1

// adopt puts documents of the configuration service into force.
func adopt(k *anvilrevision.Keeper, version uint64, documents []anvilconfig.Document, now time.Time) {
	for _, a := range k.Offer(version, documents, now, now) {
		if a.Kind == anvilrevision.ActionRun {
			k.HandleResult(a.Task.Run(), now)
		}
	}
}

// transfer returns the bytes with which a node that has the old documents gets
// the new ones from a peer.
func transfer(ctx context.Context, before, after []anvilconfig.Document) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	now := time.Unix(1_700_000_000, 0)
	giver := anvilrevision.New(anvilrevision.Config{
		Judge:  acceptAll,
		Random: rand.New(rand.NewPCG(transferSeed, 0)),
	}, now)
	taker := anvilrevision.New(anvilrevision.Config{
		Judge:  acceptAll,
		Random: rand.New(rand.NewPCG(transferSeed, 0)),
	}, now)
	adopt(giver, 2, after, now)
	if before != nil {
		adopt(taker, 1, before, now)
	}
	server, err := startPeerServer(anvilpeer.Handlers{
		Manifest: giver.Manifest,
		Chunk:    giver.Chunk,
	})
	if err != nil {
		return 0, err
	}
	defer server.close()
	w := &wireCounter{}
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: w.dial,
	})
	defer func() { _ = client.Close() }()
	actions := taker.Heard("peer", 2, true, now)
	for len(actions) > 0 {
		a := actions[0]
		switch a.Kind {
		case anvilrevision.ActionRun:
			actions = append(actions, taker.HandleResult(a.Task.Run(), now)...)
		case anvilrevision.ActionFetchManifest:
			manifest, err := client.Manifest(ctx, server.address, a.Revision.Version)
			if err != nil {
				return 0, err
			}
			actions = append(actions, taker.HandleManifest("peer", manifest, now)...)
		case anvilrevision.ActionFetchChunks:
			chunks, err := client.Chunks(ctx, server.address, a.Revision.Version, a.Chunks)
			if err != nil {
				return 0, err
			}
			actions = append(actions, taker.HandleChunks("peer", a.Chunks, chunks, now)...)
		}
		actions = actions[1:]
	}
	if taker.InForce() != giver.InForce() {
		return 0, errors.New("the revision was not transferred")
	}
	return w.bytes(), nil
}
