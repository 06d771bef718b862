package anvilquery_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

const (
	// The budgets are higher than the defaults so that hedges and retries often
	// coincide.
	testHedgeBudget = 0.5
	testRetryBudget = 0.2
)

// randomEvents is a fleet with random events. rapid prefers small numbers, so rare
// events have large ones.
type randomEvents struct {
	*rapid.T
	*fleet
}

// TestInvariants guards R1, R2, R5, R6, R7 and R11 against replies that are late,
// duplicated, mismatched, or from another snapshot, shard or shard count, while
// snapshots change, shards are repartitioned, leaves fail, requests share an id and
// the process pauses. fleet does the checks.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomEvents{
			T:     t,
			fleet: newFleet(t, "a, b, c, d, e, f"),
		}
		s.origin.SetBudgets(testHedgeBudget, testRetryBudget)
		for i := range 6 {
			s.reportHoldings(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start":            s.startRandom,
			"reply":            s.replyToCall,
			"answer":           s.replyToCall,
			"finish":           s.replyToCall,
			"unmatched-reply":  s.mismatchedReply,
			"state":            func(*rapid.T) { s.reportHoldings(s.pick(6)) },
			"usable":           s.setRandomUsable,
			"wait":             func(*rapid.T) { s.wait(s.duration()) },
			"pause-or-abandon": s.pauseOrAbandon,
			"":                 s.checkBudgets,
		})
		s.wait(5 * time.Second)
		for _, q := range s.queries {
			if !q.Done() {
				t.Fatalf("R11: a query is still running after its deadline")
			}
			q.Release()
		}
	})
}

func (s randomEvents) pick(n int) int {
	return rapid.IntRange(0, n-1).Draw(s.T, "pick")
}

func (s randomEvents) duration() time.Duration {
	return []time.Duration{0, ms / 3, 2 * ms, 9 * ms, 60 * ms}[s.pick(5)]
}

// reportHoldings reports that a leaf holds its shards of some snapshots. The third
// snapshot has a different shard count.
func (s randomEvents) reportHoldings(i int) {
	all := []string{fmt.Sprintf(" 1:%d/2", i%2), fmt.Sprintf(" 2:%d/2", i%2), fmt.Sprintf(" 3:%d/3", i%3)}
	state := "abcdef"[i : i+1]
	first := s.pick(3)
	for _, h := range all[first : first+1+s.pick(3-first)] {
		state += h
	}
	s.reportStates(state)
}

func (s randomEvents) setRandomUsable(*rapid.T) {
	name, usable := anvilmodel.LeafName("abcdef"[s.pick(6):][:1]), s.pick(5) < 4
	s.unusable[name] = !usable
	s.origin.SetUsable(name, usable)
}

// pauseOrAbandon pauses the process or abandons the latest query, and usually does
// neither.
func (s randomEvents) pauseOrAbandon(*rapid.T) {
	n := len(s.queries)
	switch event := s.pick(20); {
	case event == 19:
		s.now = s.now.Add(1500 * ms)
	case event == 18 && n > 0 && !s.queries[n-1].Done():
		q := s.queries[n-1]
		q.abandoned = !q.request.Class.NonIdempotent
		s.applyActions(q, q.Abandon(s.now, nil))
		if q.Done() != q.abandoned {
			s.Fatalf("R7: a non-idempotent query was abandoned before its outcome is known")
		}
	}
}

func (s randomEvents) startRandom(*rapid.T) {
	timeouts := []time.Duration{3 * time.Second, 300 * ms, 100 * ms, 20 * ms, ms}
	r := request(anvilmodel.Mode(1+s.pick(3)), timeouts[s.pick(5)])
	r.ID = []anvilmodel.RequestID{"r", "other"}[s.pick(2)]
	r.Key = []string{"", "k", "l"}[s.pick(3)]
	if s.pick(4) == 3 {
		r = nonIdempotent(r)
		r.Key += "k"
	}
	s.start(r)
}

// drawCall draws one of the latest calls, preferring outstanding ones.
func (s randomEvents) drawCall() *sentCall {
	if len(s.calls) == 0 {
		s.Skip("no call was sent yet")
	}
	latest := s.calls[max(0, len(s.calls)-8):]
	open := slices.DeleteFunc(slices.Clone(latest), func(c *sentCall) bool { return !c.outstanding })
	if len(open) > 0 && s.pick(4) < 3 {
		latest = open
	}
	return latest[s.pick(len(latest))]
}

// drawReply draws the reply of a leaf to a call, preferring good replies.
func (s randomEvents) drawReply(c *sentCall) anvilmodel.CallReply {
	result := max(ok, anvilmodel.CallResult(s.pick(9)-1))
	r := s.reply(c, result, []anvilmodel.RunState{notRun, 0, anvilmodel.RunStateRun}[s.pick(3)])
	r.RetryAfter = s.duration()
	r.Draining = s.pick(10) == 9
	return r
}

// replyToCall delivers the reply of a leaf to a call, which may have ended already.
func (s randomEvents) replyToCall(*rapid.T) {
	c := s.drawCall()
	r := s.drawReply(c)
	wrong := s.pick(12)
	if r.Result == ok && wrong >= 9 {
		switch wrong {
		case 9:
			r.Holding.Snapshot++
		case 10:
			r.Holding.Shard++
		default:
			r.Holding.ShardCount++
		}
		// Without an incarnation the holding is not applied, so the shard counts
		// remain those of the fleet.
		r.Incarnation = 0
		r.Body = []byte("from elsewhere")
	}
	s.deliver(c, r)
}

// mismatchedReply delivers a reply with an identity other than that of its call.
func (s randomEvents) mismatchedReply(*rapid.T) {
	c, other := s.drawCall(), s.drawCall().owner
	r := s.drawReply(c)
	r.Body = []byte("mismatched")
	switch s.pick(4) {
	case 0:
		r.ID.Request += "x"
	case 1:
		r.ID.Origin++
	case 2:
		r.ID.Attempt += 1 << 20
	case 3:
		r.Leaf += "x"
	}
	if s.pick(2) == 0 {
		s.applyActions(other, other.HandleReply(r, s.now, nil))
		return
	}
	_, actions := s.origin.HandleReply(r, s.now, nil)
	s.applyActions(c.owner, actions)
}

// checkBudgets checks that hedges and retries stay within their ratio of primary
// calls.
func (s randomEvents) checkBudgets(*rapid.T) {
	c := s.origin.Counters()
	if float64(c.HedgesSent) > testHedgeBudget*float64(c.Calls) || float64(c.Retries) > 10+testRetryBudget*float64(c.Calls) {
		s.Fatalf("hedges or retries over budget: %+v", c)
	}
}

// applyActions records the actions of a query and checks them.
func (f *fleet) applyActions(q *trackedQuery, actions []anvilquery.Action) {
	f.t.Helper()
	for i, a := range actions {
		if q.answer != nil || q.refusal != nil || q.abandoned && a.Kind != anvilquery.ActionCancel {
			f.t.Fatalf("action %v after the query had ended", a.Kind)
		}
		switch a.Kind {
		case anvilquery.ActionCall:
			f.checkCall(q, &a.Call)
			c := &sentCall{
				Call:        a.Call,
				outstanding: true,
				ran:         true,
				owner:       q,
			}
			q.calls = append(q.calls, c)
			f.calls = append(f.calls, c)
		case anvilquery.ActionCancel:
			n := slices.IndexFunc(q.calls, func(c *sentCall) bool { return c.outstanding && c.ID == a.Call.ID && c.Leaf == a.Call.Leaf })
			if n < 0 {
				f.t.Fatalf("cancelled a call that is not outstanding: %v", a.Call.ID)
			}
			q.calls[n].outstanding = false
		case anvilquery.ActionFinish:
			q.answer, q.refusal = a.Answer, a.Refusal
			if i != len(actions)-1 || (a.Answer == nil) == (a.Refusal == nil) {
				f.t.Fatalf("action %d of %d finishes with answer %v, refusal %v; want the last action and exactly one of them", i, len(actions), a.Answer, a.Refusal)
			}
			f.checkEnd(q)
		}
	}
	if open := slices.ContainsFunc(q.calls, func(c *sentCall) bool { return c.outstanding }); q.Done() == open {
		f.t.Fatalf("R11: done is %v while calls outstanding is %v", q.Done(), open)
	}
}

func (f *fleet) checkCall(q *trackedQuery, c *anvilmodel.Call) {
	f.t.Helper()
	if c.Timeout <= 0 || c.Timeout != q.deadline.Sub(f.now) || f.unusable[c.Leaf] {
		f.t.Fatalf("call with timeout %v to leaf %s, unusable: %v", c.Timeout, c.Leaf, f.unusable[c.Leaf])
	}
	if slices.ContainsFunc(f.calls, func(e *sentCall) bool { return e.ID == c.ID }) {
		f.t.Fatalf("R5: call id %v used twice", c.ID)
	}
	for _, e := range q.calls {
		switch {
		case c.NonIdempotent && (e.ran || c.Hedge):
			f.t.Fatalf("R7: second call while the first may have run")
		case e.outstanding && e.Snapshot != c.Snapshot || e.Snapshot > c.Snapshot:
			f.t.Fatalf("R1: calls for snapshots %d and %d", e.Snapshot, c.Snapshot)
		case e.Snapshot == c.Snapshot && e.Shard == c.Shard && (e.Leaf == c.Leaf || e.Hedge && c.Hedge):
			f.t.Fatalf("second call or hedge for shard %d to leaves %s, %s", c.Shard, e.Leaf, c.Leaf)
		}
	}
}

// checkEnd compares the answer or refusal with what the leaves did.
func (f *fleet) checkEnd(q *trackedQuery) {
	f.t.Helper()
	if r := q.refusal; r != nil {
		if r.RunState == notRun && slices.ContainsFunc(q.calls, func(c *sentCall) bool { return c.ran }) {
			f.t.Fatalf("R6: %v, but a call may have run", r)
		}
		return
	}
	a, shards := q.answer, f.shards[q.answer.Snapshot]
	addressed := shards
	if q.request.Key != "" {
		addressed = 1
	}
	if c := a.Coverage; c.Total != addressed || c.Covered != len(a.Parts) || len(c.Missing) != addressed-c.Covered {
		f.t.Fatalf("R2: %d parts with coverage %+v of %d shards", len(a.Parts), c, addressed)
	}
	seen := slices.Clone(a.Coverage.Missing)
	for _, p := range a.Parts {
		seen = append(seen, p.Shard)
		if want := fmt.Sprintf("%s %d/%d/%d", q.request.Body, a.Snapshot, p.Shard, shards); string(p.Body) != want {
			f.t.Fatalf("R1, R5: part is %q, want %q", p.Body, want)
		}
	}
	slices.Sort(seen)
	if len(slices.Compact(seen)) != addressed || seen[0] < 0 || int(seen[addressed-1]) >= shards {
		f.t.Fatalf("R2: shards %v of %d", seen, shards)
	}
}
