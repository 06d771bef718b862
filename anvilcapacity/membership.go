package anvilcapacity

import (
	"context"
	"sync"
	"time"
)

const (
	// memberStart is the virtual time in which all nodes announce themselves,
	// memberSettle the time after everybody was told of everybody. Without being
	// told, 410 nodes that start at once need 40 s until the bytes are level.
	memberStart  = 4 * time.Second
	memberSettle = 6 * time.Second
	// memberWindow is the virtual time that is measured after them.
	memberWindow = 4 * time.Second
	// memberDeath bounds the wait until a lost node counts as dead everywhere.
	memberDeath = 60 * time.Second
)

// measureMembership runs fleets of membership cores.
func measureMembership(ctx context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{4, 16, 64, 256, designNodes}
	fleets := warmFleets(sizes, seed)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	results := make([]memberResult, len(sizes))
	for i, f := range fleets {
		results[i] = f.measure()
	}
	// The largest goes first, so that the rest is small when it is weighed.
	for i := len(fleets) - 1; i >= 0; i-- {
		before := liveHeap()
		fleets[i] = nil
		results[i].memory = (before - liveHeap()) / float64(sizes[i])
	}
	return append(memberSlopes(sizes, results), measureSplit(seed)...), nil
}

// warmFleets starts fleets and lets each get to know itself. They run next to
// each other, because nothing is measured yet.
func warmFleets(sizes []int, seed uint64) []*memberFleet {
	fleets := make([]*memberFleet, len(sizes))
	var tasks sync.WaitGroup
	for i, n := range sizes {
		tasks.Go(func() {
			f := newMemberFleet(n, seed)
			f.runUntil(memberStart, nil)
			f.introduce()
			f.runUntil(memberStart+memberSettle, nil)
			fleets[i] = f
		})
	}
	tasks.Wait()
	return fleets
}

// memberResult holds figures for one node and second, unless said otherwise.
type memberResult struct {
	bytes    float64
	messages float64
	probes   float64
	views    float64
	cpu      float64
	// memory is that of one node in bytes.
	memory float64
	// death is the time until a lost node counts as dead everywhere, in
	// seconds, and extra the messages of all nodes beyond the usual ones.
	death float64
	extra float64
}

func (f *memberFleet) measure() memberResult {
	per := float64(len(f.nodes)) * memberWindow.Seconds()
	f.counts = memberCounts{}
	f.recording = true
	cpu := cpuOf(func() { f.runUntil(f.now+memberWindow, nil) })
	f.recording = false
	r := memberResult{
		bytes:    float64(f.counts.bytes) / per,
		messages: float64(f.counts.messages) / per,
		probes:   float64(f.counts.probes) / per,
		views:    float64(f.counts.views) / per,
		cpu:      cpu / per,
	}
	usual := r.messages * float64(len(f.nodes))
	took := f.loseNode(len(f.nodes) / 2)
	r.death = took.Seconds()
	r.extra = float64(f.counts.messages) - usual*r.death
	return r
}

// loseNode ends a node. It returns the time until all others hold it for dead.
func (f *memberFleet) loseNode(i int) time.Duration {
	f.counts = memberCounts{}
	lost := f.nodes[i]
	lost.down = true
	began := f.now
	f.runUntil(began+memberDeath, f.everySo(func() bool { return f.agreeDead(lost, slotName(i)) }))
	return f.now - began
}

func memberSlopes(sizes []int, results []memberResult) []Slope {
	members := sizeList{name: "members", list: sizes}
	slope := func(name, what string, kind Kind, unit string, value func(memberResult) float64, target Target) Slope {
		target.Size = designNodes
		s := members.slope("membership-"+name, what, kind, unit, target)
		for _, r := range results {
			s.Values = append(s.Values, value(r))
		}
		return s
	}
	return []Slope{
		slope("bytes", "encoded probes and replies that a node sends, without drpc frames", KindCount, "bytes/s",
			func(r memberResult) float64 { return r.bytes },
			Target{What: "probes and replies", Unit: "bytes/s", Limit: designBytes}),
		slope("messages", "probes and replies that a node sends", KindCount, "messages/s",
			func(r memberResult) float64 { return r.messages },
			Target{What: "probes and replies", Unit: "messages/s"}),
		slope("probes", "probes that a node sends", KindCount, "probes/s",
			func(r memberResult) float64 { return r.probes },
			Target{What: "probes", Unit: "probes/s"}),
		slope("cpu", "membership core of a node, with the list of members after each event", KindCPU, "cores",
			func(r memberResult) float64 { return r.cpu },
			Target{What: "membership core", Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}),
		slope("memory", "membership core of a node, with the list of members", KindHeap, "bytes",
			func(r memberResult) float64 { return r.memory },
			Target{What: "membership core", Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory}),
		slope("views", "changes of the list of members at a node", KindCount, "changes/s",
			func(r memberResult) float64 { return r.views },
			Target{What: "changes of the list", Unit: "changes/s"}),
		slope("death", "time until a lost node counts as dead at all others", KindVirtualTime, "s",
			func(r memberResult) float64 { return r.death },
			Target{What: "loss known everywhere", Unit: "s"}),
		slope("death-messages", "messages that all nodes send more than usual until then", KindCount, "messages",
			func(r memberResult) float64 { return r.extra },
			Target{What: "one lost node", Unit: "messages"}),
	}
}
