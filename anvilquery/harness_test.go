package anvilquery_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

const (
	ms    = time.Millisecond
	ok    = anvilmodel.CallOK
	maybe = anvilmodel.RunStateUnknown
	never = anvilmodel.RunStateNotRun
	run   = anvilmodel.RunStateRun
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20250611")
	}
	if f := flag.Lookup("rapid.steps"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.steps", "200")
		_ = flag.Set("rapid.checks", "500")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type failer interface {
	Helper()
	Fatalf(format string, arguments ...any)
}

// fleet is an origin and stand-ins for the leafs of service "s". It checks the
// invariants of every query whenever an action comes out.
type fleet struct {
	t      failer
	origin *anvilquery.Origin
	now    time.Time
	// shards is the shard count of each snapshot.
	shards   map[anvilmodel.Snapshot]int
	unusable map[anvilmodel.LeafName]bool
	queries  []*tracked
	calls    []*sentCall
}

// tracked is a query and what came out of it.
type tracked struct {
	*anvilquery.Query
	request  anvilmodel.Request
	deadline time.Time
	calls    []*sentCall
	answer   *anvilmodel.Answer
	refusal  *anvilmodel.Refusal
	gone     bool
}

type sentCall struct {
	anvilmodel.Call
	owner *tracked
	open  bool
	// ran is false once the leaf is certain not to have run the call.
	ran bool
}

func newFleet(t failer, shards map[anvilmodel.Snapshot]int, leafs ...anvilmodel.LeafName) *fleet {
	f := &fleet{
		t: t,
		origin: anvilquery.NewOrigin(anvilquery.Config{
			Incarnation: 7,
			Random:      rand.New(rand.NewPCG(1, 2)),
		}),
		now:      time.Unix(1000, 0),
		shards:   shards,
		unusable: make(map[anvilmodel.LeafName]bool),
	}
	var configured []anvilmodel.Leaf
	for _, name := range leafs {
		configured = append(configured, anvilmodel.Leaf{Name: name, Service: "s"})
	}
	f.origin.SetLeafs(configured)
	return f
}

// grid returns a fleet with snapshot 1 of the given shards, each at the given
// number of leafs, named "shard.replica".
func grid(t failer, shards, replicas int) *fleet {
	var names []anvilmodel.LeafName
	for i := range shards * replicas {
		names = append(names, leafName(i%shards, i/shards))
	}
	f := newFleet(t, map[anvilmodel.Snapshot]int{1: shards, 2: shards, 3: shards}, names...)
	for i, name := range names {
		f.state(name, anvilmodel.Shard(i%shards), 1)
	}
	return f
}

func leafName(shard, replica int) anvilmodel.LeafName {
	return anvilmodel.LeafName(fmt.Sprintf("%d.%d", shard, replica))
}

// state lets a leaf state that it holds a shard of the snapshots.
func (f *fleet) state(name anvilmodel.LeafName, shard anvilmodel.Shard, snapshots ...anvilmodel.Snapshot) {
	s := anvilmodel.LeafState{Leaf: name, Incarnation: 1}
	for _, n := range snapshots {
		s.Holdings = append(s.Holdings, anvilmodel.Holding{Snapshot: n, Shard: shard, Shards: f.shards[n]})
	}
	f.origin.ObserveState(s, f.now)
}

func (f *fleet) setUsable(name anvilmodel.LeafName, usable bool) {
	f.unusable[name] = !usable
	f.origin.SetUsable(name, usable)
}

func request(mode anvilmodel.Mode, timeout time.Duration) anvilmodel.Request {
	return anvilmodel.Request{
		ID:      "r",
		Service: "s",
		Class:   anvilmodel.Class{Name: "c", Mode: mode, CoverageFloor: 0.5, ReturnReserve: 2 * ms},
		Timeout: timeout,
	}
}

// start begins a query whose body is unique, so that replies can be told apart.
func (f *fleet) start(r anvilmodel.Request) *tracked {
	f.t.Helper()
	r.Body = fmt.Appendf(nil, "q%d", len(f.queries))
	q := &tracked{request: r, deadline: f.now.Add(r.Timeout - r.Class.ReturnReserve)}
	f.queries = append(f.queries, q)
	var actions []anvilquery.Action
	q.Query, actions = f.origin.Start(r, f.now, nil)
	f.take(q, actions)
	return q
}

// body is what a leaf answers a call with.
func (f *fleet) body(c *sentCall) []byte {
	return fmt.Appendf(nil, "%s %d/%d/%d", c.Body, c.Snapshot, c.Shard, f.shards[c.Snapshot])
}

func (f *fleet) reply(c *sentCall, result anvilmodel.CallResult, ran anvilmodel.RunState) anvilmodel.CallReply {
	r := anvilmodel.CallReply{ID: c.ID, Leaf: c.Leaf, Result: result, Ran: ran, Incarnation: 1}
	if result == ok {
		r.Holding = anvilmodel.Holding{Snapshot: c.Snapshot, Shard: c.Shard, Shards: f.shards[c.Snapshot]}
		r.Body = f.body(c)
	}
	return r
}

// end delivers a reply to a call.
func (f *fleet) end(c *sentCall, result anvilmodel.CallResult, ran anvilmodel.RunState) {
	f.t.Helper()
	f.deliver(c, f.reply(c, result, ran))
}

// deliver hands over a reply that names the call, as its leaf sent it.
func (f *fleet) deliver(c *sentCall, r anvilmodel.CallReply) {
	f.t.Helper()
	if c.open {
		c.ran = r.Ran != never || r.Result == ok || r.Result == anvilmodel.CallFailed
	}
	c.open = false
	_, actions := f.origin.Handle(r, f.now, nil)
	f.take(c.owner, actions)
}

// wait lets time pass, with a tick whenever one is due.
func (f *fleet) wait(d time.Duration) {
	f.t.Helper()
	until := f.now.Add(d)
	for {
		next := until
		for _, q := range f.queries {
			if !q.Done() && q.Next().Before(next) {
				next = q.Next()
			}
		}
		f.now = next
		for _, q := range f.queries {
			if !q.Done() && !q.Next().After(next) {
				f.take(q, q.Tick(f.now, nil))
			}
		}
		if next.Equal(until) {
			return
		}
	}
}

// take records the actions of a query and checks them.
func (f *fleet) take(q *tracked, actions []anvilquery.Action) {
	f.t.Helper()
	for i, a := range actions {
		if q.answer != nil || q.refusal != nil || q.gone && a.Kind != anvilquery.ActionCancel {
			f.t.Fatalf("action %v after the query had ended", a.Kind)
		}
		switch a.Kind {
		case anvilquery.ActionCall:
			f.checkCall(q, &a.Call)
			c := &sentCall{Call: a.Call, owner: q, open: true, ran: true}
			q.calls = append(q.calls, c)
			f.calls = append(f.calls, c)
		case anvilquery.ActionCancel:
			n := slices.IndexFunc(q.calls, func(c *sentCall) bool { return c.ID == a.Call.ID && c.open && c.Leaf == a.Call.Leaf })
			if n < 0 {
				f.t.Fatalf("cancelled a call that is not outstanding: %v", a.Call.ID)
			}
			q.calls[n].open = false
		case anvilquery.ActionFinish:
			q.answer, q.refusal = a.Answer, a.Refusal
			if i != len(actions)-1 || (a.Answer == nil) == (a.Refusal == nil) {
				f.t.Fatalf("finish %d of %d with answer %v, refusal %v", i, len(actions), a.Answer, a.Refusal)
			}
			f.checkEnd(q)
		}
	}
	if n := q.outstanding(); q.Done() != (n == 0) {
		f.t.Fatalf("R11: %d calls are outstanding and done is %v", n, q.Done())
	}
}

func (q *tracked) outstanding() (n int) {
	for _, c := range q.calls {
		if c.open {
			n++
		}
	}
	return n
}

func (f *fleet) checkCall(q *tracked, c *anvilmodel.Call) {
	f.t.Helper()
	if c.Timeout <= 0 || c.Timeout != q.deadline.Sub(f.now) || f.unusable[c.Leaf] {
		f.t.Fatalf("call with %v left to leaf %s, unusable %v", c.Timeout, c.Leaf, f.unusable[c.Leaf])
	}
	for _, e := range f.calls {
		if e.ID == c.ID {
			f.t.Fatalf("R5: call id %v used twice", c.ID)
		}
	}
	for _, e := range q.calls {
		switch {
		case c.NonIdempotent && (e.ran || c.Hedge):
			f.t.Fatalf("R7: second call while the first may have run")
		case e.open && e.Snapshot != c.Snapshot || e.Snapshot > c.Snapshot:
			f.t.Fatalf("R1: calls for snapshots %d and %d", e.Snapshot, c.Snapshot)
		case e.Snapshot == c.Snapshot && e.Shard == c.Shard && (e.Leaf == c.Leaf || e.Hedge && c.Hedge):
			f.t.Fatalf("second call or hedge for shard %d to leafs %s, %s", c.Shard, e.Leaf, c.Leaf)
		}
	}
}

// checkEnd compares the answer with what the leafs really did.
func (f *fleet) checkEnd(q *tracked) {
	f.t.Helper()
	if r := q.refusal; r != nil {
		if r.Ran == never && slices.ContainsFunc(q.calls, func(c *sentCall) bool { return c.ran }) {
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
	if len(slices.Compact(seen)) != addressed || seen[0] < 0 || int(seen[len(seen)-1]) >= shards {
		f.t.Fatalf("R2: shards %v of %d", seen, shards)
	}
}
