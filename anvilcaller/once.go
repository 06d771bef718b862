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

// outcomePause is the time between two questions about a request that is
// still running.
const outcomePause = 10 * time.Millisecond

// queryOnce sends a request that may run at most once. The ticket names the
// node that may run it. Another node gets the request, with a ticket of its
// own, only after it is certain that the earlier ticket was not run and will
// not be: nothing was sent, a refusal said so, or an outcome did, which voids
// the ticket. After any other failure the outcome is asked for.
func (c *Client) queryOnce(ctx context.Context, r *Request) (anvilmodel.Answer, error) {
	t := tour{
		client: c,
	}
	for {
		node, err := t.next(ctx)
		if err != nil {
			return anvilmodel.Answer{}, err
		}
		ticket := newTicket(node)
		answer, err := c.send(ctx, node.CallerAddress, r, ticket)
		if err == nil {
			return answer, nil
		}
		if refusal := refusalOf(err); refusal != nil && refusal.RunState == anvilmodel.RunStateUnknown {
			return anvilmodel.Answer{}, unknown(err, ticket)
		}
		if !certain(err) {
			answer, err = c.learn(ctx, r, ticket, err)
			if !errorx.IsOfType(err, voided) {
				return answer, err
			}
		}
		if !t.moveOn(ctx, node, err) {
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

// certain reports whether an error says for certain what became of the
// request: it was not sent, or a node refused it and said whether it ran.
func certain(err error) bool {
	return errorx.HasTrait(err, unsent) || refusalOf(err) != nil
}

// refusalOf returns the refusal that an error is, or nil.
func refusalOf(err error) *anvilmodel.Refusal {
	var refusal *anvilmodel.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}

// voided is the error of a ticket that an outcome has voided.
var voided = Unreachable.NewSubtype("voided")

// learn asks for the outcome of a ticket whose reply was lost. It returns the
// recorded answer or refusal, voided, or UnknownOutcome with the ticket.
func (c *Client) learn(ctx context.Context, r *Request, ticket anvilmodel.Ticket, cause error) (anvilmodel.Answer, error) {
	for {
		outcome, err := c.Outcome(ctx, ticket)
		if err != nil {
			return anvilmodel.Answer{}, unknown(cause, ticket)
		}
		switch outcome.State {
		case anvilwire.OutcomeRun:
			return recorded(outcome.Record, r.ID, ticket)
		case anvilwire.OutcomeNotRun:
			return anvilmodel.Answer{}, voided.Wrap(cause, "send request %s: not run", r.ID)
		case anvilwire.OutcomeRunning:
			if !pause(ctx, outcomePause) {
				return anvilmodel.Answer{}, unknown(cause, ticket)
			}
		default:
			return anvilmodel.Answer{}, unknown(cause, ticket)
		}
	}
}

func unknown(cause error, ticket anvilmodel.Ticket) error {
	return UnknownOutcome.Wrap(cause, "send request with ticket %s: it may have run", anvilwire.FormatTicket(ticket)).
		WithProperty(ticketProperty, ticket)
}

// recorded returns the answer or the refusal of a request that ran.
func recorded(record []byte, id anvilmodel.RequestID, ticket anvilmodel.Ticket) (anvilmodel.Answer, error) {
	answer, refusal, err := anvilwire.DecodeRecord(record)
	if err != nil {
		return anvilmodel.Answer{}, unknown(BadReply.Wrap(err, "read record of request %s", id), ticket)
	}
	if refusal != nil {
		return anvilmodel.Answer{}, refusal
	}
	if err := checkAnswer(answer, id); err != nil {
		return anvilmodel.Answer{}, unknown(err, ticket)
	}
	return *answer, nil
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Outcome asks what became of a ticket. It asks the nodes in turn until one
// knows, and returns the state unknown if all that answer say so. It returns
// Unreachable, TimedOut or BadReply if none answers.
func (c *Client) Outcome(ctx context.Context, ticket anvilmodel.Ticket) (anvilwire.Outcome, error) {
	answer, err := c.Addresses(ctx)
	if err != nil {
		return anvilwire.Outcome{}, err
	}
	best := anvilwire.Outcome{
		Ticket: ticket,
		State:  anvilwire.OutcomeUnknown,
	}
	answered := false
	for _, m := range answer.Members {
		outcome, failure := c.askOutcome(ctx, m.CallerAddress, ticket)
		if failure != nil {
			err = failure
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
	return best, nil
}

func (c *Client) askOutcome(ctx context.Context, address netip.AddrPort, ticket anvilmodel.Ticket) (anvilwire.Outcome, error) {
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
		return anvilwire.Outcome{}, BadReply.New("ask %s for an outcome: HTTP status %d", address, reply.status)
	}
	if err := anvilwire.VerifyIntegrity(reply.header, reply.body); err != nil {
		reply.discard()
		return anvilwire.Outcome{}, BadReply.Wrap(err, "ask %s for an outcome", address)
	}
	outcome, err := anvilwire.DecodeOutcome(reply.body)
	if err != nil {
		return anvilwire.Outcome{}, BadReply.Wrap(err, "ask %s for an outcome", address)
	}
	if outcome.Ticket != ticket {
		reply.discard()
		return anvilwire.Outcome{}, BadReply.Wrap(anvilwire.Crossed.New("the outcome is of another ticket"), "ask %s for an outcome", address)
	}
	return outcome, nil
}
