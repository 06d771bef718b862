package anvilnode_test

import (
	"context"
	"strings"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// executions returns the number of runs with a ticket.
func (f *fleet) executions(ticket anvilmodel.Ticket) int {
	count := 0
	for e, n := range f.cluster.Executions() {
		if e.Ticket == ticket {
			count += n
		}
	}
	return count
}

// testTicket guards against a request that runs twice, and against outcomes that differ
// between the nodes that are asked.
func testTicket(f *fleet) {
	t := f.tb
	ticket := f.nodes[0].newTicket(10)
	q := query{service: serviceCertify, class: "once", key: "mill-1", body: "grade A", ticket: ticket}
	first := f.send(f.nodes[0], q)
	if first.answer == nil {
		t.Fatalf("%+v", first)
	}
	for _, m := range f.nodes[:3] {
		again := f.send(m, q)
		if diff := cmp.Diff(first.answer, again.answer); diff != "" {
			t.Errorf("%s: %s", m.listed.Name, diff)
		}
		outcome := f.outcome(m, ticket)
		answer, _, err := anvilwire.DecodeRecord(outcome.Record)
		if outcome.State != anvilwire.OutcomeRun || err != nil || cmp.Diff(first.answer, answer) != "" {
			t.Errorf("%s: outcome %s, %+v, %v", m.listed.Name, outcome.State, answer, err)
		}
	}
	other := q
	other.body = "grade B"
	if r := f.send(f.nodes[0], other); r.refusal == nil || r.refusal.Reason != anvilmodel.ReasonBadTicket || r.refusal.RunState != anvilmodel.RunStateNotRun {
		t.Errorf("ticket with another body: %+v", r)
	}
	if n := f.executions(ticket); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
	// Requesting the outcome of an unused ticket voids it, whichever node receives the
	// request.
	unused := f.nodes[0].newTicket(11)
	if o := f.outcome(f.nodes[1], unused); o.State != anvilwire.OutcomeNotRun {
		t.Errorf("outcome of an unused ticket: %s", o.State)
	}
	q.ticket = unused
	if r := f.send(f.nodes[0], q); r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateNotRun || f.executions(unused) != 0 {
		t.Errorf("void ticket: %+v, ran %d times", r, f.executions(unused))
	}
	// Every node must have its own incarnation. Otherwise a ticket would identify
	// several nodes.
	incarnations := make(map[anvilmodel.Incarnation]bool)
	for _, m := range f.nodes {
		incarnations[m.Status().Incarnation] = true
	}
	if len(incarnations) != len(f.nodes) {
		t.Errorf("%d incarnations of %d nodes", len(incarnations), len(f.nodes))
	}
}

// testRefusalBeforeTicket guards against a wrong run state of requests that are refused
// before their ticket is checked. If the refusal says not-run, a copy of the request
// that arrives later must not run. If an earlier copy has run, the refusal must not say
// not-run.
func testRefusalBeforeTicket(f *fleet) {
	t := f.tb
	m := f.nodes[2]
	valid := query{service: serviceCertify, class: "once", key: "mill-2", body: "grade A"}
	refusals := map[string]func(*query){
		"class":   func(q *query) { q.class = "none" },
		"timeout": func(q *query) { q.timeout = time.Hour },
		"body":    func(q *query) { q.body = strings.Repeat("b", 65537) },
		"header":  func(q *query) { q.service = "" },
	}
	number := 20
	for name, invalidate := range refusals {
		number += 2
		invalid := valid
		invalid.ticket = m.newTicket(number)
		invalidate(&invalid)
		if r := f.send(m, invalid); r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateNotRun {
			t.Errorf("%s: %+v", name, r)
		}
		repeated := valid
		repeated.ticket = invalid.ticket
		if r := f.send(m, repeated); r.refusal == nil || f.executions(invalid.ticket) != 0 {
			t.Errorf("%s: %+v, ran %d times after a refusal as not-run", name, r, f.executions(invalid.ticket))
		}
		used := valid
		used.ticket = m.newTicket(number + 1)
		if r := f.send(m, used); r.answer == nil {
			t.Errorf("%s: %+v", name, r)
		}
		invalidate(&used)
		for _, at := range []*testNode{m, f.nodes[3]} {
			if r := f.send(at, used); r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateUnknown {
				t.Errorf("%s at %s: %+v, want unknown", name, at.listed.Name, r)
			}
		}
	}
}

// testDisconnectedCaller guards against a run that ends when its caller disconnects, so
// that its outcome is never recorded.
func testDisconnectedCaller(f *fleet) {
	t := f.tb
	m := f.nodes[0]
	leaves := f.cluster.Upstreams(serviceCertify)
	for _, u := range leaves {
		u.SetReplyDelay(time.Second)
	}
	var ticket anvilmodel.Ticket
	number := 30
	eventually(t, "a caller that disconnects before its answer", func() bool {
		number++
		ticket = m.newTicket(number)
		ctx, disconnect := context.WithCancel(context.Background())
		replied := make(chan reply, 1)
		go func() {
			replied <- f.sendContext(ctx, m, query{service: serviceCertify, class: "once", key: "mill-3", ticket: ticket})
		}()
		eventually(t, "a run", func() bool { return f.executions(ticket) == 1 })
		disconnect()
		return (<-replied).err != nil
	})
	asked := f.outcome(f.nodes[1], ticket)
	if asked.State != anvilwire.OutcomeRunning && asked.State != anvilwire.OutcomeRun {
		t.Errorf("outcome %s, want running or run", asked.State)
	}
	eventually(t, "outcome run", func() bool { return f.outcome(f.nodes[1], ticket).State == anvilwire.OutcomeRun })
	for _, u := range leaves {
		u.SetReplyDelay(0)
	}
	if n := f.executions(ticket); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}
