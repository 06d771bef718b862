package anvilcaller_test

import (
	"errors"
	"testing"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// lost runs the request and loses the reply.
func lost(anvilwire.Query) *fakeReply {
	return nil
}

// stated returns a function that states an outcome for every ticket.
func stated(state anvilwire.OutcomeState, record []byte) func(anvilmodel.Ticket) anvilwire.Outcome {
	return func(t anvilmodel.Ticket) anvilwire.Outcome {
		return anvilwire.Outcome{
			Ticket: t,
			State:  state,
			Record: record,
		}
	}
}

// TestTicketNamesItsNode guards against a ticket that another node would have
// to refuse, and against a second run after a certain not-run (R7).
func TestTicketNamesItsNode(t *testing.T) {
	for name, first := range map[string]func(n *fakeNode){
		"refused": func(n *fakeNode) { n.query = refused(anvilmodel.ReasonLeaving, anvilmodel.RunStateNotRun) },
		"dead":    func(n *fakeNode) { n.server.Close() },
		"void": func(n *fakeNode) {
			n.query = lost
			n.outcome = stated(anvilwire.OutcomeNotRun, nil)
		},
	} {
		nodes := startNodes(t, 2)
		client := startClient(t, nodes[1])
		if _, err := client.Addresses(t.Context()); err != nil {
			t.Fatal(err)
		}
		first(nodes[0])
		a, err := client.Query(t.Context(), request(true))
		wantAnswer(t, a, err)
		seen := nodes[1].seen()
		if len(seen) != 1 || seen[0].Ticket.Incarnation != 101 || seen[0].Ticket.Epoch != 3 {
			t.Fatalf("%s: the second node saw %+v", name, seen)
		}
		if before := nodes[0].seen(); len(before) > 0 && (before[0].Ticket.Incarnation != 100 || before[0].Ticket.ID == seen[0].Ticket.ID) {
			t.Errorf("%s: the first node saw ticket %+v", name, before[0].Ticket)
		}
	}
}

// TestLostReplyIsNotSentAgain guards against a caller that sends a request
// again although it may have run (R7); it must learn the outcome instead.
func TestLostReplyIsNotSentAgain(t *testing.T) {
	reply := answered(anvilwire.Query{
		ID:   "r-1",
		Body: []byte("grade A"),
	})
	answer, err := anvilwire.AppendAnswer(nil, reply.answer)
	if err != nil {
		t.Fatal(err)
	}
	refusal, err := anvilwire.AppendRefusal(nil, &anvilmodel.Refusal{
		RequestID: "r-1",
		Reason:    anvilmodel.ReasonUpstream,
		RunState:  anvilmodel.RunStateRun,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, first := range []func(anvilwire.Query) *fakeReply{lost, damages()["truncated"], damages()["crossed headers"]} {
		nodes := startNodes(t, 2)
		client := startClient(t, nodes[0])
		nodes[0].query = first
		nodes[0].outcome = stated(anvilwire.OutcomeUnknown, nil)
		running := 2
		nodes[1].outcome = func(t anvilmodel.Ticket) anvilwire.Outcome {
			if running--; running >= 0 {
				return stated(anvilwire.OutcomeRunning, nil)(t)
			}
			return stated(anvilwire.OutcomeRun, answer)(t)
		}
		a, err := client.Query(t.Context(), request(true))
		wantAnswer(t, a, err)
		nodes[1].outcome = stated(anvilwire.OutcomeRun, refusal)
		var got *anvilmodel.Refusal
		if _, err = client.Query(t.Context(), request(true)); !errors.As(err, &got) || got.Reason != anvilmodel.ReasonUpstream {
			t.Errorf("recorded refusal: got %v", err)
		}
		if n := len(nodes[0].seen()); n != 2 {
			t.Errorf("the first node got %d requests, want 2", n)
		}
		if n := len(nodes[1].seen()); n != 0 {
			t.Errorf("the second node got %d requests that may have run", n)
		}
	}
}

// TestUnknownOutcomeKeepsTheTicket guards against an unknown outcome that is
// reported as not run, or that the caller cannot ask about again.
func TestUnknownOutcomeKeepsTheTicket(t *testing.T) {
	for name, first := range map[string]func(anvilwire.Query) *fakeReply{
		"lost reply":      lost,
		"unknown refusal": refused(anvilmodel.ReasonNodeLost, anvilmodel.RunStateUnknown),
	} {
		nodes := startNodes(t, 2)
		client := startClient(t, nodes[0])
		nodes[0].query = first
		for _, n := range nodes {
			n.outcome = stated(anvilwire.OutcomeUnknown, nil)
		}
		_, err := client.Query(t.Context(), request(true))
		if !errorx.IsOfType(err, anvilcaller.UnknownOutcome) {
			t.Fatalf("%s: got %v", name, err)
		}
		ticket, ok := anvilcaller.TicketOf(err)
		if !ok || ticket != nodes[0].seen()[0].Ticket {
			t.Errorf("%s: got ticket %+v", name, ticket)
		}
		if n := len(nodes[1].seen()); n != 0 {
			t.Errorf("%s: the second node got the request", name)
		}
		other := ticket
		other.Epoch++
		crossed := stated(anvilwire.OutcomeNotRun, nil)(other)
		nodes[0].outcome = func(anvilmodel.Ticket) anvilwire.Outcome { return crossed }
		if o, err := client.Outcome(t.Context(), ticket); err != nil || o.State != anvilwire.OutcomeUnknown {
			t.Errorf("%s: outcome: got %+v, %v", name, o, err)
		}
	}
}
