package anvilcaller_test

import (
	"errors"
	"testing"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// loseReply accepts the request and closes the connection without a reply.
func loseReply(anvilwire.Query) *fakeReply {
	return nil
}

// outcomeOf returns a function that gives every ticket the same outcome.
func outcomeOf(state anvilwire.OutcomeState, record []byte) func(anvilmodel.Ticket) anvilwire.Outcome {
	return func(t anvilmodel.Ticket) anvilwire.Outcome {
		return anvilwire.Outcome{
			Ticket: t,
			State:  state,
			Record: record,
		}
	}
}

// TestTicketNamesItsNode guards against sending a node a ticket that was made for
// another node, which it would have to refuse, when a request that has certainly
// not run is sent again (requirement R7).
func TestTicketNamesItsNode(t *testing.T) {
	for name, failFirst := range map[string]func(n *fakeNode){
		"refused": func(n *fakeNode) { n.query = refuseWith(anvilmodel.ReasonLeaving, anvilmodel.RunStateNotRun) },
		"dead":    func(n *fakeNode) { n.server.Close() },
		"void": func(n *fakeNode) {
			n.query = loseReply
			n.outcome = outcomeOf(anvilwire.OutcomeNotRun, nil)
		},
	} {
		nodes := startNodes(t, 2)
		client := startClient(t, nodes[1])
		if _, err := client.Addresses(t.Context()); err != nil {
			t.Fatal(err)
		}
		failFirst(nodes[0])
		a, err := client.Query(t.Context(), request(true))
		requireAnswer(t, a, err)
		received := nodes[1].receivedQueries()
		if len(received) != 1 || received[0].Ticket.Incarnation != 101 || received[0].Ticket.Epoch != 3 {
			t.Fatalf("%s: the second node saw %+v", name, received)
		}
		if firstReceived := nodes[0].receivedQueries(); len(firstReceived) > 0 && (firstReceived[0].Ticket.Incarnation != 100 || firstReceived[0].Ticket.ID == received[0].Ticket.ID) {
			t.Errorf("%s: the first node saw ticket %+v", name, firstReceived[0].Ticket)
		}
	}
}

// TestLostReplyIsNotSentAgain guards against a client that sends a non-idempotent
// request again although it may have run (requirement R7). It must query the
// outcome instead.
func TestLostReplyIsNotSentAgain(t *testing.T) {
	reply := echoAnswer(anvilwire.Query{
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
	for _, firstReply := range []func(anvilwire.Query) *fakeReply{loseReply, damagedReplies()["truncated"], damagedReplies()["crossed headers"]} {
		nodes := startNodes(t, 2)
		client := startClient(t, nodes[0])
		nodes[0].query = firstReply
		nodes[0].outcome = outcomeOf(anvilwire.OutcomeUnknown, nil)
		runningReplies := 2
		nodes[1].outcome = func(t anvilmodel.Ticket) anvilwire.Outcome {
			if runningReplies--; runningReplies >= 0 {
				return outcomeOf(anvilwire.OutcomeRunning, nil)(t)
			}
			return outcomeOf(anvilwire.OutcomeRun, answer)(t)
		}
		a, err := client.Query(t.Context(), request(true))
		requireAnswer(t, a, err)
		nodes[1].outcome = outcomeOf(anvilwire.OutcomeRun, refusal)
		var got *anvilmodel.Refusal
		if _, err = client.Query(t.Context(), request(true)); !errors.As(err, &got) || got.Reason != anvilmodel.ReasonUpstream {
			t.Errorf("recorded refusal: got %v", err)
		}
		if n := len(nodes[0].receivedQueries()); n != 2 {
			t.Errorf("the first node got %d requests, want 2", n)
		}
		if n := len(nodes[1].receivedQueries()); n != 0 {
			t.Errorf("the second node got %d requests that may have run on the first, want 0", n)
		}
	}
}

// TestUnknownOutcomeKeepsTheTicket guards against reporting an unknown outcome as
// not run, or without the ticket that is needed to query the outcome again.
func TestUnknownOutcomeKeepsTheTicket(t *testing.T) {
	for name, firstReply := range map[string]func(anvilwire.Query) *fakeReply{
		"lost reply":      loseReply,
		"unknown refusal": refuseWith(anvilmodel.ReasonNodeLost, anvilmodel.RunStateUnknown),
	} {
		nodes := startNodes(t, 2)
		client := startClient(t, nodes[0])
		nodes[0].query = firstReply
		for _, n := range nodes {
			n.outcome = outcomeOf(anvilwire.OutcomeUnknown, nil)
		}
		_, err := client.Query(t.Context(), request(true))
		if !errorx.IsOfType(err, anvilcaller.UnknownOutcome) {
			t.Fatalf("%s: got %v", name, err)
		}
		ticket, ok := anvilcaller.TicketOf(err)
		if !ok || ticket != nodes[0].receivedQueries()[0].Ticket {
			t.Errorf("%s: got ticket %+v", name, ticket)
		}
		if n := len(nodes[1].receivedQueries()); n != 0 {
			t.Errorf("%s: the second node got the request", name)
		}
		other := ticket
		other.Epoch++
		crossed := outcomeOf(anvilwire.OutcomeNotRun, nil)(other)
		nodes[0].outcome = func(anvilmodel.Ticket) anvilwire.Outcome { return crossed }
		if o, err := client.Outcome(t.Context(), ticket); err != nil || o.State != anvilwire.OutcomeUnknown {
			t.Errorf("%s: outcome: got %+v, %v", name, o, err)
		}
	}
}
