package anvilquery_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilbridge/anvilmodel"
)

var (
	results = []anvilmodel.CallResult{
		ok, ok, ok, anvilmodel.CallShed, anvilmodel.CallTimeout, anvilmodel.CallBroken,
		anvilmodel.CallSnapshotGone, anvilmodel.CallCancelled, anvilmodel.CallFailed,
	}
	runStates = []anvilmodel.RunState{never, never, maybe, run}
	steps     = []time.Duration{0, 300 * time.Microsecond, 2 * ms, 9 * ms, 60 * ms}
)

// TestInvariants guards R1, R2, R5, R6, R7 and R11 against replies that come
// late, twice, crossed, or from another snapshot, shard or shard count, while
// snapshots come and go, shards are repartitioned, leafs fail, requests share an
// id and the process pauses. The checks are in fleet.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &storm{
			T:     t,
			fleet: newFleet(t, map[anvilmodel.Snapshot]int{1: 2, 2: 2, 3: 3}, "a", "b", "c", "d", "e", "f"),
		}
		s.origin.SetBudgets(stormHedges, stormRetries)
		for i := range stormLeafs {
			s.restate(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start":  s.begin,
			"reply":  s.answer,
			"answer": s.answer,
			"finish": s.answer,
			"stray":  s.stray,
			"state":  func(*rapid.T) { s.restate(s.pick("leaf", stormLeafs)) },
			"usable": func(*rapid.T) { s.setUsable(s.leaf(s.pick("leaf", stormLeafs)), s.pick("usable", 5) < 4) },
			"wait":   func(*rapid.T) { s.wait(rapid.SampledFrom(steps).Draw(s.T, "step")) },
			"pause": func(*rapid.T) {
				if s.pick("pause", 10) == 9 {
					s.now = s.now.Add(1500 * ms)
				}
			},
			"abandon": func(*rapid.T) {
				if q := s.queries; len(q) > 0 && !q[len(q)-1].Done() && s.pick("abandon", 10) == 9 {
					last := q[len(q)-1]
					last.gone = !last.request.Class.NonIdempotent
					s.take(last, last.Abandon(s.now, nil))
				}
			},
			"": s.checkBudgets,
		})
		s.wait(5 * time.Second)
		for _, q := range s.queries {
			if !q.Done() {
				t.Fatalf("R11: a query outlived its deadline")
			}
			q.Release()
		}
	})
}

const (
	stormLeafs = 6
	// The budgets are higher than usual so that hedges and retries meet often.
	stormHedges  = 0.5
	stormRetries = 0.2
)

type storm struct {
	*rapid.T
	*fleet
}

// Helper, Fatalf and Skip are those of the test; fleet has none of its own.
func (s *storm) Helper() { s.T.Helper() }

func (s *storm) pick(label string, n int) int {
	return rapid.IntRange(0, n-1).Draw(s.T, label)
}

func (s *storm) leaf(i int) anvilmodel.LeafName {
	return anvilmodel.LeafName("abcdef"[i : i+1])
}

// restate lets a leaf hold one of some sets of snapshots.
func (s *storm) restate(i int) {
	held := rapid.SampledFrom([][]anvilmodel.Snapshot{{1, 2}, {1, 2}, {1, 2, 3}, {2, 3}, {2, 3}, {3}}).Draw(s.T, "held")
	state := anvilmodel.LeafState{Leaf: s.leaf(i), Incarnation: 1}
	for _, n := range held {
		state.Holdings = append(state.Holdings, anvilmodel.Holding{
			Snapshot: n,
			Shard:    anvilmodel.Shard(i % s.shards[n]),
			Shards:   s.shards[n],
		})
	}
	s.origin.ObserveState(state, s.now)
}

func (s *storm) begin(*rapid.T) {
	mode := rapid.SampledFrom([]anvilmodel.Mode{anvilmodel.ModeBroad, anvilmodel.ModeUrgent, anvilmodel.ModePatient}).Draw(s.T, "mode")
	r := request(mode, rapid.SampledFrom([]time.Duration{3 * time.Second, 300 * ms, 100 * ms, 20 * ms, ms}).Draw(s.T, "timeout"))
	r.ID = rapid.SampledFrom([]anvilmodel.RequestID{"r", "r", "other"}).Draw(s.T, "id")
	r.Key = rapid.SampledFrom([]string{"", "", "k", "l"}).Draw(s.T, "key")
	if s.pick("class", 4) == 3 {
		r.Class.NonIdempotent = true
		r.Key += "k"
		r.Ticket = anvilmodel.Ticket{ID: "t"}
	}
	s.start(r)
}

// drawCall draws one of the latest calls, more often one that is outstanding.
func (s *storm) drawCall() *sentCall {
	if len(s.calls) == 0 {
		s.Skip("no call yet")
	}
	latest := s.calls[max(0, len(s.calls)-8):]
	open := slices.DeleteFunc(slices.Clone(latest), func(c *sentCall) bool { return !c.open })
	if len(open) > 0 && s.pick("late", 4) < 3 {
		latest = open
	}
	return latest[s.pick("call", len(latest))]
}

// answer delivers the reply of a leaf to a call, which may have ended already.
func (s *storm) answer(*rapid.T) {
	c := s.drawCall()
	result := rapid.SampledFrom(results).Draw(s.T, "result")
	r := s.reply(c, result, rapid.SampledFrom(runStates).Draw(s.T, "ran"))
	r.RetryAfter = rapid.SampledFrom(steps).Draw(s.T, "retry-after")
	r.Draining = s.pick("draining", 10) == 9
	wrong := s.pick("holding", 10)
	switch {
	case result != ok:
	case wrong == 7:
		r.Holding.Snapshot++
	case wrong == 8:
		r.Holding.Shard++
	case wrong == 9:
		r.Holding.Shards++
	}
	if r.Holding.Shards > 0 && wrong >= 7 {
		// Without an incarnation the holding is not learned, so that the shard
		// counts stay those of the fleet.
		r.Incarnation = 0
		r.Body = []byte("from elsewhere")
	}
	s.deliver(c, r)
}

// stray hands over a reply whose identity is not that of the call it answers.
func (s *storm) stray(*rapid.T) {
	c, other := s.drawCall(), s.drawCall()
	r := s.reply(c, rapid.SampledFrom(results).Draw(s.T, "result"), rapid.SampledFrom(runStates).Draw(s.T, "ran"))
	r.Body = []byte("stray")
	switch s.pick("wrong", 4) {
	case 0:
		r.ID.Request += "x"
	case 1:
		r.ID.Origin++
	case 2:
		r.ID.Attempt += 1 << 20
	case 3:
		r.Leaf += "x"
	}
	owner := other.owner
	if rapid.Bool().Draw(s.T, "to query") {
		s.take(owner, owner.Handle(r, s.now, nil))
		return
	}
	q, actions := s.origin.Handle(r, s.now, nil)
	if q == nil && len(actions) > 0 {
		s.Fatalf("R5: actions of a stray reply")
	}
	s.take(c.owner, actions)
}

// checkBudgets checks that extra calls stay within their share of primary ones.
func (s *storm) checkBudgets(*rapid.T) {
	c := s.origin.Counters()
	if float64(c.HedgesSent) > stormHedges*float64(c.Calls) || float64(c.Retries) > 10+stormRetries*float64(c.Calls) {
		s.Fatalf("hedges or retries over budget: %+v", c)
	}
}
