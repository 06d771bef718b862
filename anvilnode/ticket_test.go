package anvilnode_test

import (
	"context"
	"strings"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// executions returns how often the ticket ran.
func (f *fleet) executions(ticket anvilmodel.Ticket) int {
	count := 0
	for e, n := range f.cluster.Executions() {
		if e.Ticket == ticket {
			count += n
		}
	}
	return count
}

// testTicket guards against a request that runs twice, and against outcomes that
// differ between the nodes that are asked.
func testTicket(f *fleet) {
	t := f.tb
	ticket := f.nodes[0].ticket(10)
	q := query{service: certify, class: "once", key: "mill-1", body: "grade A", ticket: ticket}
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
		t.Errorf("other body: %+v", r)
	}
	if n := f.executions(ticket); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
	// Asking for the outcome of an unused ticket makes it void, wherever it is asked.
	unused := f.nodes[0].ticket(11)
	if o := f.outcome(f.nodes[1], unused); o.State != anvilwire.OutcomeNotRun {
		t.Errorf("outcome of an unused ticket: %s", o.State)
	}
	q.ticket = unused
	if r := f.send(f.nodes[0], q); r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateNotRun || f.executions(unused) != 0 {
		t.Errorf("void ticket: %+v, ran %d times", r, f.executions(unused))
	}
	// Every node has its own incarnation, or a ticket would name several.
	incarnations := make(map[anvilmodel.Incarnation]bool)
	for _, m := range f.nodes {
		incarnations[m.Status().Incarnation] = true
	}
	if len(incarnations) != len(f.nodes) {
		t.Errorf("%d incarnations of %d nodes", len(incarnations), len(f.nodes))
	}
}

// testTicketRefusedEarly guards against a not-run that does not last: a request
// that is refused before its ticket is looked at must not run when a copy of it
// arrives, and must not be called not-run when an earlier copy has run.
func testTicketRefusedEarly(f *fleet) {
	t := f.tb
	m := f.nodes[2]
	good := query{service: certify, class: "once", key: "mill-2", body: "grade A"}
	refusals := map[string]func(*query){
		"class":   func(q *query) { q.class = "none" },
		"timeout": func(q *query) { q.timeout = time.Hour },
		"body":    func(q *query) { q.body = strings.Repeat("b", 65537) },
		"header":  func(q *query) { q.service = "" },
	}
	number := 20
	for name, damage := range refusals {
		number += 2
		bad := good
		bad.ticket = m.ticket(number)
		damage(&bad)
		if r := f.send(m, bad); r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateNotRun {
			t.Errorf("%s: %+v", name, r)
		}
		copied := good
		copied.ticket = bad.ticket
		if r := f.send(m, copied); r.refusal == nil || f.executions(bad.ticket) != 0 {
			t.Errorf("%s: %+v, ran %d times after a not-run", name, r, f.executions(bad.ticket))
		}
		used := good
		used.ticket = m.ticket(number + 1)
		if r := f.send(m, used); r.answer == nil {
			t.Errorf("%s: %+v", name, r)
		}
		damage(&used)
		for _, at := range []*testNode{m, f.nodes[3]} {
			if r := f.send(at, used); r.refusal == nil || r.refusal.RunState != anvilmodel.RunStateUnknown {
				t.Errorf("%s at %s: %+v, want unknown", name, at.listed.Name, r)
			}
		}
	}
}

// testDisconnectedTicket guards against a run that ends with its caller, whose
// outcome could then never be asked for.
func testDisconnectedTicket(f *fleet) {
	t := f.tb
	m := f.nodes[0]
	leafs := f.cluster.Upstreams(certify)
	for _, u := range leafs {
		u.SetReplyDelay(time.Second)
	}
	var ticket anvilmodel.Ticket
	number := 30
	eventually(t, "a caller that leaves before its answer", func() bool {
		number++
		ticket = m.ticket(number)
		ctx, disconnect := context.WithCancel(context.Background())
		left := make(chan reply, 1)
		go func() {
			left <- f.sendContext(ctx, m, query{service: certify, class: "once", key: "mill-3", ticket: ticket})
		}()
		eventually(t, "run", func() bool { return f.executions(ticket) == 1 })
		disconnect()
		return (<-left).err != nil
	})
	asked := f.outcome(f.nodes[1], ticket)
	if asked.State != anvilwire.OutcomeRunning && asked.State != anvilwire.OutcomeRun {
		t.Errorf("outcome %s, want running or run", asked.State)
	}
	eventually(t, "outcome run", func() bool { return f.outcome(f.nodes[1], ticket).State == anvilwire.OutcomeRun })
	for _, u := range leafs {
		u.SetReplyDelay(0)
	}
	if n := f.executions(ticket); n != 1 {
		t.Errorf("ran %d times, want 1", n)
	}
}
