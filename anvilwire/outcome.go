package anvilwire

import (
	"encoding/json"

	"anvilbridge/anvilmodel"
)

// OutcomeState says what became of a ticket.
type OutcomeState string

// Outcome states, by the names that both protocols use.
const (
	// OutcomeUnknown means that nobody can tell whether the request ran.
	OutcomeUnknown OutcomeState = "unknown"
	// OutcomeRunning means that the request is still running.
	OutcomeRunning OutcomeState = "running"
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun OutcomeState = "not-run"
	// OutcomeRun means that the request ran; the record holds its reply.
	OutcomeRun OutcomeState = "run"
)

// Outcome is the reply to an outcome query.
type Outcome struct {
	Ticket anvilmodel.Ticket
	State  OutcomeState
	// Record is the JSON body that the caller would have received, an answer or
	// a refusal; it is empty unless the state is run. See DecodeRecord.
	Record []byte
}

type outcomeBody struct {
	Ticket string          `json:"ticket"`
	State  string          `json:"state"`
	Record json.RawMessage `json:"record,omitempty"`
}

// AppendOutcome appends the JSON body of an outcome. It returns Malformed if
// the record is not JSON.
func AppendOutcome(dst []byte, o *Outcome) ([]byte, error) {
	body := outcomeBody{
		Ticket: FormatTicket(o.Ticket),
		State:  string(o.State),
		Record: o.Record,
	}
	return appendJSON(dst, &body, "outcome")
}

// DecodeOutcome reads the JSON body of an outcome. It returns Malformed.
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
		return Outcome{}, Malformed.New("decode outcome: %q is not a state", body.State)
	}
	return Outcome{
		Ticket: ticket,
		State:  state,
		Record: body.Record,
	}, nil
}

// DecodeRecord reads the record of an outcome, which is either an answer or a
// refusal. It returns Malformed.
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
