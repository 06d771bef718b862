package anvilwire

import (
	"net/http"
	"strings"
	"time"

	"anvilbridge/anvilmodel"
)

// MaxNameBytes is the maximum length of the request ids, names and keys in request
// headers.
const MaxNameBytes = 128

// Query is a caller's request as decoded, before it is validated against the
// configuration.
type Query struct {
	ID      anvilmodel.RequestID
	Service anvilmodel.ServiceName
	Class   anvilmodel.ClassName
	// Timeout is the time that was left when the request was sent.
	Timeout time.Duration
	// Ticket is zero for idempotent classes.
	Ticket anvilmodel.Ticket
	// Key routes the request to the shard of that key; an empty key addresses
	// all shards.
	Key  string
	Body []byte
}

// Header returns the HTTP request headers of the query.
func (q *Query) Header() http.Header {
	h := http.Header{
		HeaderRequestID: []string{string(q.ID)},
		HeaderService:   []string{string(q.Service)},
		HeaderClass:     []string{string(q.Class)},
		HeaderTimeout:   []string{q.Timeout.String()},
	}
	if !q.Ticket.IsZero() {
		h[HeaderTicket] = []string{FormatTicket(q.Ticket)}
	}
	if q.Key != "" {
		h[HeaderKey] = []string{q.Key}
	}
	return h
}

// DecodeQuery parses the request headers. If any are invalid, it returns a
// refusal that lists all errors and has the reason of the first; otherwise the
// refusal is nil.
func DecodeQuery(h http.Header, body []byte) (Query, *anvilmodel.Refusal) {
	var errs queryErrors
	q := Query{
		ID:      anvilmodel.RequestID(firstValue(h, HeaderRequestID)),
		Service: anvilmodel.ServiceName(firstValue(h, HeaderService)),
		Class:   anvilmodel.ClassName(firstValue(h, HeaderClass)),
		Key:     firstValue(h, HeaderKey),
		Body:    body,
	}
	errs.checkName(HeaderRequestID, string(q.ID))
	errs.checkName(HeaderService, string(q.Service))
	errs.checkName(HeaderClass, string(q.Class))
	if len(q.Key) > MaxNameBytes {
		errs.add(anvilmodel.ReasonBadRequest, HeaderKey+" is too long", HeaderKey+" of at most 128 bytes")
	}
	q.Timeout = errs.parseTimeout(firstValue(h, HeaderTimeout))
	q.Ticket = errs.parseTicket(firstValue(h, HeaderTicket))
	return q, errs.refusal(q.ID)
}

// ValidName reports whether a request id, or the name of a service or class,
// consists of 1 to 128 characters that need no escaping in URLs.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i := range len(name) {
		if !isUnreserved(name[i]) {
			return false
		}
	}
	return true
}

// isUnreserved reports whether a character is unreserved in the sense of RFC
// 3986.
func isUnreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '.' || c == '_' || c == '~'
	}
}

// queryErrors collects the errors in the headers of a query, each with a
// description of the values that are accepted.
type queryErrors struct {
	reason   anvilmodel.RefusalReason
	details  []string
	accepted []string
}

func (e *queryErrors) add(reason anvilmodel.RefusalReason, detail, accepted string) {
	if e.reason == "" {
		e.reason = reason
	}
	e.details = append(e.details, detail)
	e.accepted = append(e.accepted, accepted)
}

func (e *queryErrors) checkName(header, value string) {
	switch {
	case value == "":
		e.add(anvilmodel.ReasonBadRequest, header+" is missing", header)
	case !ValidName(value):
		e.add(anvilmodel.ReasonBadRequest, header+" is not a name", header+" of 1 to 128 characters from A-Z a-z 0-9 - . _ ~")
	}
}

func (e *queryErrors) parseTimeout(text string) time.Duration {
	const accepted = HeaderTimeout + " as a positive Go duration, for example 250ms"
	if text == "" {
		e.add(anvilmodel.ReasonBadTimeout, HeaderTimeout+" is missing", accepted)
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		e.add(anvilmodel.ReasonBadTimeout, HeaderTimeout+" is not a positive Go duration", accepted)
		return 0
	}
	return d
}

func (e *queryErrors) parseTicket(text string) anvilmodel.Ticket {
	if text == "" {
		return anvilmodel.Ticket{}
	}
	t, err := ParseTicket(text)
	if err != nil {
		e.add(anvilmodel.ReasonBadTicket, HeaderTicket+" is not a ticket", HeaderTicket+" as <incarnation>.<epoch>.<32 hex digits>")
	}
	return t
}

// refusal returns a refusal with all errors, or nil if there are none. A request
// that is refused because of its headers has not run.
func (e *queryErrors) refusal(id anvilmodel.RequestID) *anvilmodel.Refusal {
	if e.reason == "" {
		return nil
	}
	if !ValidName(string(id)) {
		id = ""
	}
	return &anvilmodel.Refusal{
		RequestID: id,
		Reason:    e.reason,
		RunState:  anvilmodel.RunStateNotRun,
		Detail:    strings.Join(e.details, "; "),
		Accepted:  strings.Join(e.accepted, "; "),
	}
}
