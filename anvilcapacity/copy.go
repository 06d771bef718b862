package anvilcapacity

import (
	"bytes"
	"context"
	"net/netip"
	"time"

	"anvilbridge/anvilmirror"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilroute"
)

const (
	// copyPrefixes is the number of prefixes of the store that are followed, copyWait
	// how long a question waits in a fleet of the design size, copyReaders the nodes
	// that read the store (anvilgateway/follow.go).
	copyPrefixes = 2
	copyWait     = 1400 * time.Millisecond
	copyReaders  = 2
	// copyFollowers is the number of nodes that follow one of the first level at the
	// design size: 376 follow 32. A reader has 16 followers and follows nobody.
	copyFollowers = 12
	// verifiesPerSec and watchesPerSec are the reads of one reader.
	verifiesPerSec = 1.0
	watchesPerSec  = copyPrefixes / 10.0
	// leafChangesPerDay are the changes of leafs' entries: each leaf is replaced once
	// a day, which adds, changes and removes an entry. It is assumed.
	leafChangesPerDay = 3 * designLeafs
	// entryBytes is the size of a leaf's entry, serviceBytes and shardBytes what the
	// configuration says of a service and of a shard of a route.
	entryBytes   = 200
	serviceBytes = 120
	shardBytes   = 16
)

// asksPerSec is the questions that a node asks in a second, servesPerSec those that
// one of the first level answers.
const (
	asksPerSec   = copyPrefixes * float64(time.Second) / float64(copyWait)
	servesPerSec = asksPerSec * copyFollowers
)

// measureCopy measures how the copy of the store is passed on.
func measureCopy(ctx context.Context, _ uint64) ([]Slope, error) {
	var changes anvilmirror.Changes
	server, err := startPeerServer(anvilpeer.Handlers{
		Published: func(context.Context, anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
			return anvilpeer.PublishedReply{
				Changes: changes,
				Age:     time.Second,
			}
		},
	})
	if err != nil {
		return nil, err
	}
	defer server.close()
	idle, err := measureQuestions(ctx, server.address)
	if err != nil {
		return nil, err
	}
	changed, err := measureChanges(ctx, server.address, &changes)
	return append(append(idle, changed...), storeReads()), err
}

// ask asks for the copy.
func ask(ctx context.Context, c *anvilpeer.Client, to netip.AddrPort) error {
	_, err := c.Published(ctx, to, anvilpeer.PublishedRequest{
		Prefix:           "leafs/",
		CompleteRevision: 100_000,
		LatestRevision:   100_000,
		Wait:             copyWait,
	})
	return err
}

// measureQuestions measures questions that no change answers.
func measureQuestions(ctx context.Context, server netip.AddrPort) ([]Slope, error) {
	asked := sizeList{name: "questions", list: []int{100, 200, 400}}
	perSec := func(what string, size float64, unit string, limit float64, budget BudgetName) Target {
		return Target{What: what, Size: size, Rate: true, Unit: unit, Limit: limit, Budget: budget}
	}
	questions := asked.slope("copy-question-bytes", "questions for changes on a kept connection, without TCP and IP headers", KindCount, "bytes",
		perSec("asked", asksPerSec, "bytes/s", designBytes, BudgetControlSent),
		perSec("taken from 12 followers", servesPerSec, "bytes/s", designBytes, BudgetControlReceived))
	answers := asked.slope("copy-answer-bytes", "answers without a change", KindCount, "bytes",
		perSec("received", asksPerSec, "bytes/s", designBytes, BudgetControlReceived),
		perSec("sent to 12 followers", servesPerSec, "bytes/s", designBytes, BudgetControlSent))
	// A question is asked at one node and answered at another.
	cpu := asked.slope("copy-cpu", "questions and answers, both nodes", KindCPU, "s",
		perSec("a node with 12 followers", (asksPerSec+servesPerSec)/2, "cores", designCPU, BudgetControlCPU))
	for _, n := range asked.list {
		w := &wireCounter{}
		if err := exchange(ctx, w, server, true, n, ask); err != nil {
			return nil, err
		}
		questions.Values = append(questions.Values, float64(w.sent.Load()))
		answers.Values = append(answers.Values, float64(w.received.Load()))
		used, err := exchangeCPU(ctx, server, true, n, ask)
		if err != nil {
			return nil, err
		}
		cpu.Values = append(cpu.Values, used)
	}
	return []Slope{questions, answers, cpu}, nil
}

// measureChanges measures answers that carry changes.
func measureChanges(ctx context.Context, server netip.AddrPort, changes *anvilmirror.Changes) ([]Slope, error) {
	const changesOfLeafs = float64(leafChangesPerDay) / secondsPerDay
	document := float64(designLeafs/shardLeafs) * (serviceBytes + shardBytes)
	target := func(what string, size, factor float64, budget BudgetName) Target {
		return Target{What: what, Size: size, Factor: factor, Unit: "bytes/s", Limit: designBytes, Budget: budget}
	}
	items := sizeList{name: "bytes of the item", list: []int{entryBytes, 10_000, 200_000}}
	s := items.slope("copy-change-bytes", "answer with one change", KindCount, "bytes",
		target("leafs' entries received, 3 changes a day of each", entryBytes, changesOfLeafs, BudgetControlReceived),
		target("the same sent to 12 followers", entryBytes, changesOfLeafs*copyFollowers, BudgetControlSent),
		target("configuration received, 230 changes a day", document, changesPerSec, BudgetControlReceived),
		target("the same sent to 12 followers", document, changesPerSec*copyFollowers, ""))
	for _, size := range items.list {
		*changes = anvilmirror.Changes{
			CompleteRevision: 100_001,
			Items: []anvilmirror.Item{{
				Key:      "leafs/leaf-0001",
				Value:    bytes.Repeat([]byte("x"), size),
				Revision: 100_001,
			}},
		}
		w := &wireCounter{}
		if err := exchange(ctx, w, server, true, 1, ask); err != nil {
			return nil, err
		}
		s.Values = append(s.Values, float64(w.received.Load()))
	}
	return []Slope{s, measureHeldCopy()}, nil
}

// measureHeldCopy measures the memory of a node's copy.
func measureHeldCopy() Slope {
	held := sizeList{name: "leafs", list: []int{300, 1000, designLeafs}}
	s := held.slope("copy-memory", "copy of the leafs' entries", KindHeap, "bytes",
		Target{What: "entries", Size: designLeafs, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory})
	for _, n := range held.list {
		s.Values = append(s.Values, retained(func() *anvilmirror.Mirror {
			m := anvilmirror.New()
			c := anvilmirror.Changes{
				CompleteRevision: uint64(n),
				Snapshot:         true,
			}
			for i := range n {
				c.Items = append(c.Items, anvilmirror.Item{
					Key:      "leafs/" + string(leafAt(i).Name),
					Value:    bytes.Repeat([]byte("x"), entryBytes),
					Revision: uint64(i + 1),
				})
			}
			m.Apply(c)
			return m
		}))
	}
	return s
}

// storeReads counts the reads of the store by the whole fleet.
func storeReads() Slope {
	fleets := sizeList{name: "nodes", list: []int{4, 33, designNodes}}
	s := fleets.slope("store-reads", "reads of the store by all nodes while nothing changes", KindCount, "reads/s",
		Target{What: "all nodes", Size: designNodes, Unit: "reads/s", Limit: designReads})
	for _, n := range fleets.list {
		members := designMembers(n)
		// All nodes have read the store.
		now := time.Now()
		table := anvilmirror.NewReaderTable(anvilmirror.ReaderConfig{
			Count:    copyReaders,
			FanOut:   anvilmirror.FanOut,
			Lifetime: func(int) time.Duration { return time.Second },
		})
		for _, m := range members {
			table.RecordSuccess(m.Name, now)
		}
		readers := 0
		for i := range members {
			members[0], members[i] = members[i], members[0]
			if table.Role(members, true, now).Reads {
				readers++
			}
			members[0], members[i] = members[i], members[0]
		}
		s.Values = append(s.Values, float64(readers)*(verifiesPerSec+watchesPerSec))
	}
	return s
}

// measureRoutes measures the table of routes that a change of the configuration
// makes a node build.
func measureRoutes(_ context.Context, _ uint64) ([]Slope, error) {
	configured := sizeList{name: "shards", list: []int{99, 495, designLeafs / shardLeafs}}
	cpu := configured.slope("routes-cpu", "table of the routes and services of a configuration", KindCPU, "s",
		Target{What: "230 changes a day", Size: designLeafs / shardLeafs, Factor: changesPerSec, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU})
	memory := configured.slope("routes-memory", "configuration and table of routes", KindHeap, "bytes",
		Target{What: "the version in force and the next", Size: designLeafs / shardLeafs, Factor: 2, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory})
	const builds = 20
	for _, n := range configured.list {
		c := configuration(n)
		cpu.Values = append(cpu.Values, leastCPU(func() {
			for range builds {
				anvilroute.NewTable(c)
			}
		})/builds)
		memory.Values = append(memory.Values, retained(func() *anvilroute.Table { return anvilroute.NewTable(configuration(n)) }))
	}
	return []Slope{cpu, memory}, nil
}
