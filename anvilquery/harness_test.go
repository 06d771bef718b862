package anvilquery_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

const (
	ms     = time.Millisecond
	ok     = anvilmodel.CallOK
	failed = anvilmodel.CallFailed
	notRun = anvilmodel.RunStateNotRun
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"seed": "20250611", "steps": "200", "checks": "200", "nofailfile": "true"} {
		if f := flag.Lookup("rapid." + name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// fleet is an origin with fake leaves of service "s". It checks the invariants of
// every query whenever the query returns actions.
type fleet struct {
	t      rapid.TB
	origin *anvilquery.Origin
	now    time.Time
	// shards is the shard count of each snapshot.
	shards   map[anvilmodel.Snapshot]int
	unusable map[anvilmodel.LeafName]bool
	queries  []*trackedQuery
	calls    []*sentCall
}

// trackedQuery is a query with the calls and the result it returned.
type trackedQuery struct {
	*anvilquery.Query
	request   anvilmodel.Request
	deadline  time.Time
	calls     []*sentCall
	answer    *anvilmodel.Answer
	refusal   *anvilmodel.Refusal
	abandoned bool
}

type sentCall struct {
	anvilmodel.Call
	outstanding bool
	// ran is false once it is certain that the leaf did not run the call.
	ran   bool
	owner *trackedQuery
}

// newFleet returns a fleet with the leaves and states in the format of
// reportStates.
func newFleet(t rapid.TB, states string) *fleet {
	f := &fleet{
		t: t,
		origin: anvilquery.NewOrigin(anvilquery.Config{
			Incarnation: 7,
			Random:      rand.New(rand.NewPCG(1, 2)),
		}),
		now:      time.Unix(1000, 0),
		shards:   make(map[anvilmodel.Snapshot]int),
		unusable: make(map[anvilmodel.LeafName]bool),
	}
	var leaves []anvilmodel.Leaf
	for line := range strings.SplitSeq(states, ", ") {
		leaves = append(leaves, anvilmodel.Leaf{
			Name:    anvilmodel.LeafName(strings.Fields(line)[0]),
			Service: "s",
		})
	}
	f.origin.SetLeaves(leaves)
	f.reportStates(states)
	return f
}

// reportStates reports leaf states, as "leaf snapshot:shard/shards ...", with ", "
// between leaves. The words "draining", "age=", "load=" and "incarnation=" set the
// other fields.
func (f *fleet) reportStates(states string) {
	for line := range strings.SplitSeq(states, ", ") {
		words := strings.Fields(line)
		s := anvilmodel.LeafState{
			Leaf:        anvilmodel.LeafName(words[0]),
			Incarnation: 1,
		}
		for _, w := range words[1:] {
			switch key, value, _ := strings.Cut(w, "="); key {
			case "draining":
				s.Draining = true
			case "age":
				s.Age, _ = time.ParseDuration(value)
			case "load":
				_, _ = fmt.Sscan(value, &s.Load)
			case "incarnation":
				_, _ = fmt.Sscan(value, &s.Incarnation)
			default:
				var h anvilmodel.Holding
				_, _ = fmt.Sscanf(w, "%d:%d/%d", &h.Snapshot, &h.Shard, &h.ShardCount)
				f.shards[h.Snapshot] = h.ShardCount
				s.Holdings = append(s.Holdings, h)
			}
		}
		f.origin.ObserveState(s, f.now)
	}
}

// gridStates returns the states of leaves named "shard.replica", all of which hold
// the given snapshots.
func gridStates(shards, replicas int, snapshots ...int) string {
	var lines []string
	for i := range shards * replicas {
		line := fmt.Sprintf("%d.%d", i%shards, i/shards)
		for _, n := range snapshots {
			line += fmt.Sprintf(" %d:%d/%d", n, i%shards, shards)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, ", ")
}

func grid(t rapid.TB, shards, replicas int) *fleet {
	return newFleet(t, gridStates(shards, replicas, 1))
}

func request(mode anvilmodel.Mode, timeout time.Duration) anvilmodel.Request {
	return anvilmodel.Request{
		ID:      "r",
		Service: "s",
		Class: anvilmodel.Class{
			Mode:          mode,
			CoverageFloor: 0.5,
			ReturnReserve: 2 * ms,
		},
		Timeout: timeout,
	}
}

func nonIdempotent(r anvilmodel.Request) anvilmodel.Request {
	r.Class.NonIdempotent = true
	r.Ticket.ID = "t"
	return r
}

// startBroad starts a query that waits 98 ms for full coverage.
func (f *fleet) startBroad() *trackedQuery {
	return f.start(request(anvilmodel.ModeBroad, 100*ms))
}

// start starts a query with a unique body, so that replies can be told apart.
func (f *fleet) start(r anvilmodel.Request) *trackedQuery {
	f.t.Helper()
	r.Body = fmt.Appendf(nil, "q%d", len(f.queries))
	q := &trackedQuery{
		request:  r,
		deadline: f.now.Add(r.Timeout - r.Class.ReturnReserve),
	}
	f.queries = append(f.queries, q)
	var actions []anvilquery.Action
	q.Query, actions = f.origin.Start(r, f.now, nil)
	f.applyActions(q, actions)
	return q
}

// reply returns the reply of the leaf to a call.
func (f *fleet) reply(c *sentCall, result anvilmodel.CallResult, ran anvilmodel.RunState) anvilmodel.CallReply {
	r := anvilmodel.CallReply{
		ID:          c.ID,
		Leaf:        c.Leaf,
		Result:      result,
		RunState:    ran,
		Incarnation: 1,
	}
	if result == ok {
		r.Holding.Snapshot, r.Holding.Shard, r.Holding.ShardCount = c.Snapshot, c.Shard, f.shards[c.Snapshot]
		r.Body = fmt.Appendf(nil, "%s %d/%d/%d", c.Body, c.Snapshot, c.Shard, f.shards[c.Snapshot])
	}
	return r
}

// endCall delivers a reply to a call.
func (f *fleet) endCall(c *sentCall, result anvilmodel.CallResult, ran anvilmodel.RunState) {
	f.t.Helper()
	f.deliver(c, f.reply(c, result, ran))
}

func (f *fleet) deliver(c *sentCall, r anvilmodel.CallReply) {
	f.t.Helper()
	if c.outstanding {
		c.ran = r.RunState != notRun || r.Result == ok || r.Result == failed
	}
	c.outstanding = false
	_, actions := f.origin.HandleReply(r, f.now, nil)
	f.applyActions(c.owner, actions)
}

// endInOrder ends the calls of a query in order, as "result/run-state ...".
func (f *fleet) endInOrder(q *trackedQuery, ends string) {
	f.t.Helper()
	for i, word := range strings.Fields(ends) {
		if q.Done() {
			return
		}
		n := 0
		for n < 30 && fmt.Sprintf("%v/%v", anvilmodel.CallResult(n/3), anvilmodel.RunState(n%3)) != word {
			n++
		}
		f.endCall(q.calls[i], anvilmodel.CallResult(n/3), anvilmodel.RunState(n%3))
	}
}

// endAllCalls ends all outstanding calls of a query, including new ones that
// result.
func (f *fleet) endAllCalls(q *trackedQuery, result anvilmodel.CallResult, ran anvilmodel.RunState) {
	f.t.Helper()
	for i := 0; i < len(q.calls); i++ {
		if q.calls[i].outstanding {
			f.endCall(q.calls[i], result, ran)
		}
	}
}

// learnLatency runs queries whose calls all take the given time, to record
// latencies and earn tokens.
func (f *fleet) learnLatency(queries int, latency time.Duration) {
	for range queries {
		q := f.startBroad()
		f.wait(latency)
		f.endAllCalls(q, ok, anvilmodel.RunStateRun)
	}
}

// wait advances the time and calls Tick whenever a tick is due.
func (f *fleet) wait(d time.Duration) {
	f.t.Helper()
	until := f.now.Add(d)
	for f.now.Before(until) {
		next := until
		running := slices.DeleteFunc(slices.Clone(f.queries), func(q *trackedQuery) bool { return q.Done() })
		for _, q := range running {
			if q.NextTick().Before(next) {
				next = q.NextTick()
			}
		}
		f.now = next
		for _, q := range running {
			if !q.NextTick().After(next) {
				f.applyActions(q, q.Tick(f.now, nil))
			}
		}
	}
}

// snapshotSummary returns the pinned snapshot and the shard maps, as
// "snapshot:covered/shards".
func (f *fleet) snapshotSummary() string {
	s, _ := f.origin.Status("s", f.now)
	text := fmt.Sprint(s.Pinned)
	for _, m := range s.Snapshots {
		text += fmt.Sprintf(" %d:%d/%d", m.Snapshot, m.Covered, m.Shards)
	}
	return text
}
