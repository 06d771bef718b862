package anvilnode

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilticket"
	"anvilbridge/anvilwire"
)

func newTicketRegister(incarnation anvilmodel.Incarnation, started time.Time) *anvilticket.Register {
	return anvilticket.New(anvilticket.Config{
		Incarnation: incarnation,
		StartTime:   started,
	})
}

func (n *Node) ticketEpoch() uint32 {
	n.ticketLock.Lock()
	defer n.ticketLock.Unlock()
	if n.tickets == nil {
		return 0
	}
	return n.tickets.Epoch(time.Now())
}

// runWithTicket runs a non-idempotent request if its ticket permits it. The run
// continues if the caller disconnects, so that its outcome is recorded.
func (n *Node) runWithTicket(ctx context.Context, active *activeConfig, request anvilmodel.Request) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	digest := requestDigest(request)
	n.ticketLock.Lock()
	decision := n.tickets.Begin(request.Ticket, digest, time.Now())
	n.ticketLock.Unlock()
	if decision.Kind != anvilticket.DecisionRun {
		n.admission.release()
		return n.answerWithoutRunning(ctx, request, decision)
	}
	type result struct {
		answer  *anvilmodel.Answer
		refusal *anvilmodel.Refusal
	}
	done := make(chan result, 1)
	n.startTask(func() {
		defer n.admission.release()
		answer, refusal := n.runQuery(n.ctx, active, request)
		n.finishTicket(request.Ticket, answer, refusal)
		done <- result{
			answer:  answer,
			refusal: refusal,
		}
	})
	select {
	case r := <-done:
		return r.answer, r.refusal
	case <-ctx.Done():
		return nil, ticketRefusal(request.ID, anvilmodel.ReasonTicketUsed, anvilmodel.RunStateUnknown, "the request is still running")
	}
}

// requestDigest returns a hash of the service, class, key and body. Requests with the
// same ticket must have the same digest.
func requestDigest(r anvilmodel.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{string(r.Service), string(r.Class.Name), r.Key} {
		// A hash.Hash never returns an error.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

func (n *Node) finishTicket(ticket anvilmodel.Ticket, answer *anvilmodel.Answer, refusal *anvilmodel.Refusal) {
	ran := anvilmodel.RunStateRun
	var record []byte
	var err error
	if answer != nil {
		record, err = anvilwire.AppendAnswer(nil, answer)
	} else {
		ran = refusal.RunState
		record, err = anvilwire.AppendRefusal(nil, refusal)
	}
	if err != nil {
		n.config.Log.Error().Str("event", "outcome-encoding-failed").Err(err).Send()
		record = nil
	}
	n.ticketLock.Lock()
	defer n.ticketLock.Unlock()
	n.tickets.Finish(ticket, anvilticket.Outcome{
		RunState: ran,
		Answer:   record,
		Digest:   xxhash.Sum64(record),
		Size:     len(record),
	}, time.Now())
}

// answerWithoutRunning answers a request whose ticket does not permit a run at this
// node.
func (n *Node) answerWithoutRunning(ctx context.Context, request anvilmodel.Request, d anvilticket.Decision) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	switch d.Kind {
	case anvilticket.DecisionRecorded:
		return answerFromRecord(request.ID, d.Outcome.RunState, d.Outcome.Answer)
	case anvilticket.DecisionRunning:
		return nil, ticketRefusal(request.ID, anvilmodel.ReasonTicketUsed, anvilmodel.RunStateUnknown, "the request is still running")
	case anvilticket.DecisionOtherIncarnation:
		return n.answerFromPeer(ctx, request)
	default:
		return nil, ticketRefusal(request.ID, d.Reason, d.RunState, d.Detail)
	}
}

// answerFromPeer answers a request whose ticket names another incarnation, with the
// outcome that the node of that incarnation reports.
func (n *Node) answerFromPeer(ctx context.Context, request anvilmodel.Request) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout-request.Class.ReturnReserve)
	defer cancel()
	outcome := n.fetchOutcome(ctx, request.Ticket)
	switch outcome.State {
	case anvilwire.OutcomeRun:
		return answerFromRecord(request.ID, anvilmodel.RunStateRun, outcome.Record)
	case anvilwire.OutcomeNotRun:
		return nil, ticketRefusal(request.ID, anvilmodel.ReasonBadTicket, anvilmodel.RunStateNotRun,
			"the ticket belongs to another node, which has not run it and never will; use a new ticket")
	case anvilwire.OutcomeRunning:
		return nil, ticketRefusal(request.ID, anvilmodel.ReasonTicketUsed, anvilmodel.RunStateUnknown, "the request is still running at another node")
	default:
		return nil, ticketRefusal(request.ID, anvilmodel.ReasonBadTicket, anvilmodel.RunStateUnknown,
			fmt.Sprintf("the node incarnation %d of the ticket cannot be asked", request.Ticket.Incarnation))
	}
}

// adjustRefusal corrects the run state of a refusal that was made before the ticket was
// used. After not-run the caller takes a new ticket, so the refused one must not have
// run and must not run later. A copy of the request may have arrived before, or may
// still be on its way.
func (n *Node) adjustRefusal(ticket anvilmodel.Ticket, refusal *anvilmodel.Refusal) *anvilmodel.Refusal {
	if ticket.IsZero() || refusal.RunState != anvilmodel.RunStateNotRun {
		return refusal
	}
	n.ticketLock.Lock()
	defer n.ticketLock.Unlock()
	if n.tickets != nil && n.tickets.Void(ticket, time.Now()) {
		return refusal
	}
	refusal.RunState = anvilmodel.RunStateUnknown
	refusal.Detail += "; whether the ticket ran before is not known here, ask for its outcome"
	return refusal
}

func ticketRefusal(id anvilmodel.RequestID, reason anvilmodel.RefusalReason, ran anvilmodel.RunState, detail string) *anvilmodel.Refusal {
	return &anvilmodel.Refusal{
		RequestID: id,
		Reason:    reason,
		RunState:  ran,
		Detail:    detail,
	}
}

// answerFromRecord answers with a recorded outcome, under the id of the current
// request.
func answerFromRecord(id anvilmodel.RequestID, ran anvilmodel.RunState, record []byte) (*anvilmodel.Answer, *anvilmodel.Refusal) {
	if len(record) == 0 {
		return nil, ticketRefusal(id, anvilmodel.ReasonTicketUsed, ran, "the request has ended; its answer was too large to be kept")
	}
	answer, refusal, err := anvilwire.DecodeRecord(record)
	if err != nil {
		return nil, ticketRefusal(id, anvilmodel.ReasonTicketUsed, ran, "the recorded answer cannot be read")
	}
	if refusal != nil {
		refusal.RequestID = id
		return nil, refusal
	}
	answer.RequestID = id
	return answer, nil
}

// ticketOutcome returns the outcome of a ticket for a caller.
func (n *Node) ticketOutcome(ctx context.Context, ticket anvilmodel.Ticket) anvilwire.Outcome {
	if ticket.Incarnation != n.incarnation() {
		return n.fetchOutcome(ctx, ticket)
	}
	return n.localOutcome(ticket)
}

func (n *Node) localOutcome(ticket anvilmodel.Ticket) anvilwire.Outcome {
	result := anvilwire.Outcome{
		Ticket: ticket,
		State:  anvilwire.OutcomeUnknown,
	}
	n.ticketLock.Lock()
	defer n.ticketLock.Unlock()
	if n.tickets == nil {
		return result
	}
	state, recorded := n.tickets.Lookup(ticket, time.Now())
	switch state {
	case anvilticket.TicketRunning:
		result.State = anvilwire.OutcomeRunning
	case anvilticket.TicketVoid:
		result.State = anvilwire.OutcomeNotRun
	case anvilticket.TicketFinished:
		result.State = outcomeState(recorded.RunState)
		if result.State == anvilwire.OutcomeRun {
			result.Record = recorded.Answer
		}
	}
	return result
}

func outcomeState(ran anvilmodel.RunState) anvilwire.OutcomeState {
	switch ran {
	case anvilmodel.RunStateRun:
		return anvilwire.OutcomeRun
	case anvilmodel.RunStateNotRun:
		return anvilwire.OutcomeNotRun
	default:
		return anvilwire.OutcomeUnknown
	}
}

// fetchOutcome requests the outcome of a ticket from the node of the incarnation that
// the ticket names.
func (n *Node) fetchOutcome(ctx context.Context, ticket anvilmodel.Ticket) anvilwire.Outcome {
	result := anvilwire.Outcome{
		Ticket: ticket,
		State:  anvilwire.OutcomeUnknown,
	}
	m, ok := n.memberView.Load().byIncarnation[ticket.Incarnation]
	if !ok || m.Name == n.config.Name || !m.PeerAddress.IsValid() {
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	outcome, err := n.peers.Outcome(ctx, m.PeerAddress, ticket)
	if err != nil {
		return result
	}
	state := anvilwire.OutcomeState(outcome.State)
	switch state {
	case anvilwire.OutcomeRunning, anvilwire.OutcomeNotRun, anvilwire.OutcomeRun:
		return anvilwire.Outcome{
			Ticket: ticket,
			State:  state,
			Record: outcome.Answer,
		}
	default:
		return result
	}
}

// handleOutcome returns the outcome of a ticket for another node. A node answers only
// for its own incarnation, because it does not know the tickets of a predecessor.
func (n *Node) handleOutcome(ticket anvilmodel.Ticket) anvilpeer.TicketOutcome {
	if ticket.Incarnation != n.incarnation() {
		return anvilpeer.TicketOutcome{
			State: string(anvilwire.OutcomeUnknown),
		}
	}
	outcome := n.localOutcome(ticket)
	return anvilpeer.TicketOutcome{
		State:  string(outcome.State),
		Answer: outcome.Record,
	}
}
