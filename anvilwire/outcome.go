package anvilwire

import (
	"encoding/json"

	"anvilbridge/anvilmodel"
)

// OutcomeState tells whether the request that was sent with a ticket has run.
type OutcomeState string

// Outcome states. The values are the names in the protocol of callers and in
// the protocol between nodes.
const (
	// OutcomeUnknown means that it cannot be determined whether the request ran.
	OutcomeUnknown OutcomeState = "unknown"
	// OutcomeRunning means that the request is still running.
	OutcomeRunning OutcomeState = "running"
	// OutcomeNotRun means that the request has not run and never will.
	OutcomeNotRun OutcomeState = "not-run"
	// OutcomeRun means that the request has run; the record holds its reply.
	OutcomeRun OutcomeState = "run"
)

// Outcome is the reply to an outcome query.
type Outcome struct {
	Ticket anvilmodel.Ticket
	State  OutcomeState
	// Record is the JSON body of the reply to the request, which is an answer or
	// a refusal; see DecodeRecord. It is empty unless the state is OutcomeRun.
	Record []byte
}

type outcomeBody struct {
	Ticket string          `json:"ticket"`
	State  string          `json:"state"`
	Record json.RawMessage `json:"record,omitempty"`
}

// AppendOutcome appends the JSON encoding of an outcome. A record that is not
// JSON gives a Malformed error.
func AppendOutcome(dst []byte, o *Outcome) ([]byte, error) {
	body := outcomeBody{
		Ticket: FormatTicket(o.Ticket),
		State:  string(o.State),
		Record: o.Record,
	}
	return appendJSON(dst, &body, "outcome")
}

// DecodeOutcome parses the JSON encoding of an outcome. Invalid input gives a
// Malformed error.
func DecodeOutcome(data []byte) (Outcome, error) {
	var body outcomeBody
	if err := decodeJSON(data, &body, "outcome"); err != nil {
		return Outcome{}, err
	}
	ticket, err := ParseTicket(body.Ticket)
	if err != nil {
		return Outcome{}, err
	}
	state := OutcomeState(body.State)
	switch state {
	case OutcomeUnknown, OutcomeRunning, OutcomeNotRun, OutcomeRun:
	default:
		return Outcome{}, Malformed.New("decode outcome: unknown state %q", body.State)
	}
	return Outcome{
		Ticket: ticket,
		State:  state,
		Record: body.Record,
	}, nil
}

// DecodeRecord parses the record of an outcome and returns either an answer or a
// refusal. Invalid input gives a Malformed error.
func DecodeRecord(record []byte) (*anvilmodel.Answer, *anvilmodel.Refusal, error) {
	var kind struct {
		Reason string `json:"reason"`
	}
	if err := decodeJSON(record, &kind, "record"); err != nil {
		return nil, nil, err
	}
	if kind.Reason != "" {
		r, err := DecodeRefusal(record)
		return nil, r, err
	}
	a, err := DecodeAnswer(record)
	if err != nil {
		return nil, nil, err
	}
	return &a, nil, nil
}
