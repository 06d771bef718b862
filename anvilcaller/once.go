package anvilcaller

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// outcomePollInterval is the time between outcome queries while a request is
// still running.
const outcomePollInterval = 10 * time.Millisecond

// queryNonIdempotent sends a request that may run at most once. Its ticket names
// the only node that may run it. The request is sent to another node, with a new
// ticket, only if it has certainly not run with the earlier ticket and never
// will: because nothing was sent, a refusal says so, or an outcome query says so,
// which also voids the ticket. After any other failure the outcome is queried.
func (c *Client) queryNonIdempotent(ctx context.Context, r *Request) (anvilmodel.Answer, error) {
	nodes := nodeSelector{
		client: c,
	}
	for {
		node, err := nodes.next(ctx)
		if err != nil {
			return anvilmodel.Answer{}, err
		}
		ticket := newTicket(node)
		answer, err := c.send(ctx, node.CallerAddress, r, ticket)
		if err == nil {
			return answer, nil
		}
		if refusal := refusalOf(err); refusal != nil && refusal.RunState == anvilmodel.RunStateUnknown {
			return anvilmodel.Answer{}, unknownOutcome(err, ticket)
		}
		if !outcomeKnown(err) {
			answer, err = c.resolveOutcome(ctx, r, ticket, err)
			if !errorx.IsOfType(err, ticketVoided) {
				return answer, err
			}
		}
		if !nodes.mayTryNext(ctx, node, err) {
			return anvilmodel.Answer{}, err
		}
	}
}

func newTicket(node anvilmodel.Member) anvilmodel.Ticket {
	return anvilmodel.Ticket{
		Incarnation: node.Incarnation,
		Epoch:       node.TicketEpoch,
		ID:          randomID(),
	}
}

// outcomeKnown reports whether it is certain after the given error whether the
// request ran: it was not sent, or a node refused it and stated the run state.
func outcomeKnown(err error) bool {
	return errorx.HasTrait(err, nothingSent) || refusalOf(err) != nil
}

// refusalOf returns the refusal in the chain of an error, or nil.
func refusalOf(err error) *anvilmodel.Refusal {
	var refusal *anvilmodel.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// ticketVoided means that an outcome query has voided the ticket: the request has
// not run with it and never will.
var ticketVoided = Unreachable.NewSubtype("voided")

// resolveOutcome queries the outcome of a ticket whose reply was lost. It returns
// the recorded answer or refusal, ticketVoided, or UnknownOutcome with the ticket.
func (c *Client) resolveOutcome(ctx context.Context, r *Request, ticket anvilmodel.Ticket, cause error) (anvilmodel.Answer, error) {
	for {
		outcome, err := c.Outcome(ctx, ticket)
		if err != nil {
			return anvilmodel.Answer{}, unknownOutcome(cause, ticket)
		}
		switch outcome.State {
		case anvilwire.OutcomeRun:
			return recordedReply(outcome.Record, r.ID, ticket)
		case anvilwire.OutcomeNotRun:
			return anvilmodel.Answer{}, ticketVoided.Wrap(cause, "send request %s: not run", r.ID)
		case anvilwire.OutcomeRunning:
			if !sleep(ctx, outcomePollInterval) {
				return anvilmodel.Answer{}, unknownOutcome(cause, ticket)
			}
		default:
			return anvilmodel.Answer{}, unknownOutcome(cause, ticket)
		}
	}
}

// unknownOutcome returns an UnknownOutcome error with the ticket.
func unknownOutcome(cause error, ticket anvilmodel.Ticket) error {
	return UnknownOutcome.Wrap(cause, "send request with ticket %s: request may have run", anvilwire.FormatTicket(ticket)).
		WithProperty(ticketProperty, ticket)
}

// recordedReply decodes the recorded answer or refusal of a request that ran.
func recordedReply(record []byte, id anvilmodel.RequestID, ticket anvilmodel.Ticket) (anvilmodel.Answer, error) {
	answer, refusal, err := anvilwire.DecodeRecord(record)
	if err != nil {
		return anvilmodel.Answer{}, unknownOutcome(BadReply.Wrap(err, "decode recorded reply to request %s", id), ticket)
	}
	if refusal != nil {
		return anvilmodel.Answer{}, refusal
	}
	if err := checkAnswer(answer, id); err != nil {
		return anvilmodel.Answer{}, unknownOutcome(err, ticket)
	}
	return *answer, nil
}

// sleep waits for the given time. It reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Outcome queries whether the request with the given ticket has run. It asks one
// node after the other until one knows, and returns OutcomeUnknown if none of
// those that answer does. It returns Unreachable, TimedOut or BadReply if none
// answers.
func (c *Client) Outcome(ctx context.Context, ticket anvilmodel.Ticket) (anvilwire.Outcome, error) {
	list, err := c.Addresses(ctx)
	if err != nil {
		return anvilwire.Outcome{}, err
	}
	unknownState := anvilwire.Outcome{
		Ticket: ticket,
		State:  anvilwire.OutcomeUnknown,
	}
	answered := false
	for _, m := range list.Members {
		outcome, fetchErr := c.fetchOutcomeFrom(ctx, m.CallerAddress, ticket)
		if fetchErr != nil {
			err = fetchErr
			continue
		}
		answered = true
		if outcome.State != anvilwire.OutcomeUnknown {
			return outcome, nil
		}
	}
	if !answered {
		return anvilwire.Outcome{}, err
	}
	return unknownState, nil
}

func (c *Client) fetchOutcomeFrom(ctx context.Context, address netip.AddrPort, ticket anvilmodel.Ticket) (anvilwire.Outcome, error) {
	query := url.Values{}
	query.Set(anvilwire.ParameterTicket, anvilwire.FormatTicket(ticket))
	reply, err := c.exchange(ctx, address, &http.Request{
		Method: http.MethodGet,
		URL: &url.URL{
			Scheme:   "http",
			Host:     address.String(),
			Path:     anvilwire.PathOutcome,
			RawQuery: query.Encode(),
		},
		Header: make(http.Header),
	})
	if err != nil {
		return anvilwire.Outcome{}, err
	}
	if reply.status != http.StatusOK {
		return anvilwire.Outcome{}, BadReply.New("fetch outcome from %s: HTTP status %d", address, reply.status)
	}
	if err := anvilwire.VerifyIntegrity(reply.header, reply.body); err != nil {
		reply.closeConnection()
		return anvilwire.Outcome{}, BadReply.Wrap(err, "fetch outcome from %s", address)
	}
	outcome, err := anvilwire.DecodeOutcome(reply.body)
	if err != nil {
		return anvilwire.Outcome{}, BadReply.Wrap(err, "fetch outcome from %s", address)
	}
	if outcome.Ticket != ticket {
		reply.closeConnection()
		return anvilwire.Outcome{}, BadReply.Wrap(anvilwire.Crossed.New("outcome belongs to another ticket"), "fetch outcome from %s", address)
	}
	return outcome, nil
}
