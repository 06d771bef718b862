package anvilcapacity

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilrevision"
	"anvilbridge/anvilwire"
)

// bytesPerLeaf brings 3,000 leafs to a document of 1 MB.
const bytesPerLeaf = designDocument / designLeafs

// documents returns a base file and the overlays of two sites.
func documents(slots, leafs, size int) []anvilconfig.Document {
	return []anvilconfig.Document{
		{
			Name:    anvilconfig.BaseName,
			Content: baseFile(slots, leafs, size),
		},
		{
			Name:    "north.yaml",
			Content: []byte("site: north\npolicy: {hedge-budget: 0.03}\n"),
		},
		{
			Name:    "south.yaml",
			Content: []byte("site: south\nclasses: {crews: {timeout: 80ms}}\n"),
		},
	}
}

// changed returns the documents with one other line: a leaf's port.
func changed(docs []anvilconfig.Document, leaf int) []anvilconfig.Document {
	old := fmt.Appendf(nil, "%s: {address: \"%s\"", deploymentLeafs(leaf + 1)[leaf].Name, deploymentLeafs(leaf + 1)[leaf].Address)
	edited := append([]anvilconfig.Document{}, docs...)
	edited[0].Content = bytes.Replace(docs[0].Content, old, bytes.Replace(old, []byte(":7000"), []byte(":7009"), 1), 1)
	return edited
}

func judgeDocuments(docs []anvilconfig.Document) anvilrevision.Judgement {
	release, findings := anvilconfig.LoadPublished(docs)
	return anvilrevision.Judgement{
		Release:  release,
		Findings: findings,
	}
}

// measureConfiguration measures a configuration change.
func measureConfiguration(ctx context.Context, _ uint64) ([]Slope, error) {
	slopes, err := measureValidation()
	if err != nil {
		return nil, err
	}
	transfer, err := measureTransfer(ctx)
	if err != nil {
		return nil, err
	}
	platform, err := measurePlatform()
	return append(append(slopes, transfer...), platform...), err
}

// measureValidation loads documents of several sizes.
func measureValidation() ([]Slope, error) {
	sizes := []int{750, 1500, designLeafs}
	slope := func(name, what string, kind Kind, unit string, targets ...Target) Slope {
		return Slope{
			Name:     "configuration-" + name,
			What:     what + ", 350 bytes for each leaf, 410 slots, 2 sites",
			Kind:     kind,
			Unit:     unit,
			SizeName: "leafs",
			Sizes:    floats(sizes),
			Targets:  targets,
		}
	}
	cpu := slope("cpu", "validating all documents", KindCPU, "s",
		Target{What: "230 changes a day", Size: designLeafs, Factor: changesPerSec, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU})
	wall := slope("wall", "validating all documents", KindWall, "s",
		Target{What: "one validation, during which the node answers no probe (their timeout is 0.3 s)", Size: designLeafs, Unit: "s", Limit: probeTimeout.Seconds()})
	kept := slope("memory", "release in force", KindHeap, "bytes",
		Target{What: "two releases, while a new one takes over", Size: designLeafs, Factor: 2, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory})
	total := slope("allocated-bytes", "allocated while validating", KindCount, "bytes",
		Target{What: "one validation", Size: designLeafs, Unit: "bytes"})
	peak := slope("peak-memory", "most heap while validating, garbage included, beyond the heap before", KindWall, "bytes",
		Target{What: "one validation", Size: designLeafs, Unit: "bytes", Limit: designMemory})
	for _, n := range sizes {
		docs := documents(designNodes, n, n*bytesPerLeaf)
		if j := judgeDocuments(docs); !j.OK() {
			return nil, fmt.Errorf("the configuration of the measurement has findings: %v", j.Findings)
		}
		load := func() { judgeDocuments(docs) }
		cpu.Values = append(cpu.Values, leastCPU(load))
		wall.Values = append(wall.Values, leastWall(load))
		kept.Values = append(kept.Values, retained(func() anvilrevision.Judgement { return judgeDocuments(docs) }))
		_, allocatedBytes := allocated(load)
		total.Values = append(total.Values, allocatedBytes)
		peak.Values = append(peak.Values, peakHeap(load))
	}
	return []Slope{cpu, wall, kept, total, peak}, nil
}

// peakHeap returns the largest heap during work, less the live heap before. The
// heap is read every millisecond.
func peakHeap(work func()) float64 {
	before := liveHeap()
	sample := []metrics.Sample{{
		Name: "/memory/classes/heap/objects:bytes",
	}}
	done := make(chan struct{})
	most := 0.0
	var tasks sync.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			metrics.Read(sample)
			most = max(most, float64(sample[0].Value.Uint64()))
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	work()
	close(done)
	tasks.Wait()
	return max(most-before, 0)
}

// measureTransfer lets one node fetch a revision with one changed line from
// another. The mean is over changes in 40 places, because chunks differ in size.
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
	one := slope("change-bytes", "manifest and chunks of a revision with one changed line, mean of 40 places, both directions together",
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
		const places = 40
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
		Judge: acceptAll,
	}, now)
	taker := anvilrevision.New(anvilrevision.Config{
		Judge: acceptAll,
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
		return 0, fmt.Errorf("the revision was not transferred")
	}
	return w.bytes(), nil
}

// measurePlatform counts reads of the platform and their bytes.
func measurePlatform() ([]Slope, error) {
	nodes := []int{4, 16, 64, 256, designNodes}
	watches := Slope{
		Name:     "platform-watches",
		What:     "reads of the configuration service by all nodes, by the rule of anvilnode/platform.go",
		Kind:     KindCount,
		Unit:     "reads/s",
		SizeName: "nodes",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:  "watches of 3 nodes of each failure domain and 230 changes a day",
			Size:  designNodes,
			Unit:  "reads/s",
			Limit: designReads,
		}},
	}
	lists := Slope{
		Name:     "platform-lists",
		What:     "reads of the VM list by all nodes, by the rule of anvilnode/platform.go",
		Kind:     KindCount,
		Unit:     "reads/s",
		SizeName: "nodes",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:  "reads of the list",
			Size:  designNodes,
			Unit:  "reads/s",
			Limit: designReads,
		}},
	}
	listBytes := Slope{
		Name:     "platform-list-bytes",
		What:     "body of one read of the VM list",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "VMs",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:   "received by a node, which reads it every 20.5 s",
			Size:   designNodes,
			Factor: 1 / listEvery(designNodes).Seconds(),
			Unit:   "bytes/s",
			Limit:  designBytes,
			Budget: BudgetControlReceived,
		}},
	}
	for _, n := range nodes {
		watchers := float64(designDomains * min(watchersPerDomain, n/designDomains))
		watches.Values = append(watches.Values, watchers*(1/watchWait.Seconds()+changesPerSec))
		lists.Values = append(lists.Values, float64(n)/listEvery(n).Seconds())
		body, err := anvilwire.AppendVMList(nil, listedVMs(n))
		if err != nil {
			return nil, err
		}
		listBytes.Values = append(listBytes.Values, float64(len(body)))
	}
	cpu, err := measureListCPU(nodes)
	if err != nil {
		return nil, err
	}
	read, err := measureReadBytes()
	return []Slope{watches, lists, listBytes, cpu, read}, err
}

// listEvery is the time between two reads of the VM list by one node.
func listEvery(nodes int) time.Duration {
	return max(listInterval, time.Duration(nodes)*listPerMember)
}

func measureListCPU(nodes []int) (Slope, error) {
	const reads = 50
	s := Slope{
		Name:     "platform-list-cpu",
		What:     "decoding one VM list",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "VMs",
		Sizes:    floats(nodes),
		Targets: []Target{{
			What:   "read every 20.5 s",
			Size:   designNodes,
			Factor: 1 / listEvery(designNodes).Seconds(),
			Unit:   "cores",
			Limit:  designCPU,
			Budget: BudgetControlCPU,
		}},
	}
	for _, n := range nodes {
		body, err := anvilwire.AppendVMList(nil, listedVMs(n))
		if err != nil {
			return s, err
		}
		var kept []anvilmodel.ListedVM
		s.Values = append(s.Values, leastCPU(func() {
			for range reads {
				if kept, err = anvilwire.DecodeVMList(body); err != nil {
					return
				}
			}
		})/reads)
		runtime.KeepAlive(kept)
		if err != nil {
			return s, err
		}
	}
	return s, nil
}

// measureReadBytes measures what a watcher receives for a change.
func measureReadBytes() (Slope, error) {
	sizes := []int{designDocument / 4, designDocument / 2, designDocument}
	s := Slope{
		Name:     "platform-read-bytes",
		What:     "body of one read of the configuration service",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "bytes of the base file",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "received by each of 12 watchers, 230 changes a day",
			Size:   designDocument,
			Factor: changesPerSec,
			Unit:   "bytes/s",
			Limit:  designBytes,
		}},
	}
	for _, size := range sizes {
		read := anvilwire.ConfigRead{
			Version: 100_000,
		}
		for _, d := range documents(designNodes, size/bytesPerLeaf, size) {
			read.Documents = append(read.Documents, anvilwire.Document(d))
		}
		body, err := anvilwire.AppendConfigRead(nil, &read)
		if err != nil {
			return s, err
		}
		s.Values = append(s.Values, float64(len(body)))
	}
	return s, nil
}
