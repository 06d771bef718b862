package anvilwire

import (
	"net/http"
	"strings"
	"time"

	"anvilbridge/anvilmodel"
)

// MaxNameBytes bounds request ids and the names in request headers.
const MaxNameBytes = 128

// Query is a caller's request before it is checked against the configuration.
type Query struct {
	ID      anvilmodel.RequestID
	Service anvilmodel.ServiceName
	Class   anvilmodel.ClassName
	// Timeout is the time left when the request was sent.
	Timeout time.Duration
	// Ticket is absent for idempotent classes.
	Ticket anvilmodel.Ticket
	// Key routes the request to the one shard of that key; empty means all shards.
	Key  string
	Body []byte
}

// Header returns the request headers of the query.
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

// DecodeQuery reads the request headers. It returns a refusal that lists every
// fault, with the reason of the first, or nil.
func DecodeQuery(h http.Header, body []byte) (Query, *anvilmodel.Refusal) {
	var f queryFaults
	q := Query{
		ID:      anvilmodel.RequestID(first(h, HeaderRequestID)),
		Service: anvilmodel.ServiceName(first(h, HeaderService)),
		Class:   anvilmodel.ClassName(first(h, HeaderClass)),
		Key:     first(h, HeaderKey),
		Body:    body,
	}
	f.checkName(HeaderRequestID, string(q.ID))
	f.checkName(HeaderService, string(q.Service))
	f.checkName(HeaderClass, string(q.Class))
	if len(q.Key) > MaxNameBytes {
		f.add(anvilmodel.ReasonBadRequest, HeaderKey+" is too long", HeaderKey+" of at most 128 bytes")
	}
	q.Timeout = f.timeout(first(h, HeaderTimeout))
	q.Ticket = f.ticket(first(h, HeaderTicket))
	return q, f.refusal(q.ID)
}

// ValidName reports whether a request id, or the name of a service or class,
// has 1 to 128 of the characters that need no escaping in URLs.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for i := range len(name) {
		if !unreserved(name[i]) {
			return false
		}
	}
	return true
}

func unreserved(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '.' || c == '_' || c == '~'
	}
}

// queryFaults collects what is wrong with a query.
type queryFaults struct {
	reason   anvilmodel.RefusalReason
	details  []string
	accepted []string
}

func (f *queryFaults) add(reason anvilmodel.RefusalReason, detail, accepted string) {
	if f.reason == "" {
		f.reason = reason
	}
	f.details = append(f.details, detail)
	f.accepted = append(f.accepted, accepted)
}

func (f *queryFaults) checkName(header, value string) {
	switch {
	case value == "":
		f.add(anvilmodel.ReasonBadRequest, header+" is missing", header)
	case !ValidName(value):
		f.add(anvilmodel.ReasonBadRequest, header+" is not a name", header+" of 1 to 128 characters from A-Z a-z 0-9 - . _ ~")
	}
}

func (f *queryFaults) timeout(text string) time.Duration {
	const accepted = HeaderTimeout + " as a positive Go duration, for example 250ms"
	if text == "" {
		f.add(anvilmodel.ReasonBadTimeout, HeaderTimeout+" is missing", accepted)
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		f.add(anvilmodel.ReasonBadTimeout, HeaderTimeout+" is not a positive Go duration", accepted)
		return 0
	}
	return d
}

func (f *queryFaults) ticket(text string) anvilmodel.Ticket {
	if text == "" {
		return anvilmodel.Ticket{}
	}
	t, err := ParseTicket(text)
	if err != nil {
		f.add(anvilmodel.ReasonBadTicket, HeaderTicket+" is not a ticket", HeaderTicket+" as <incarnation>.<epoch>.<32 hex digits>")
	}
	return t
}

// refusal returns nil if there is no fault. A request that is refused for its
// headers was not run.
func (f *queryFaults) refusal(id anvilmodel.RequestID) *anvilmodel.Refusal {
	if f.reason == "" {
		return nil
	}
	if !ValidName(string(id)) {
		id = ""
	}
	return &anvilmodel.Refusal{
		RequestID: id,
		Reason:    f.reason,
		RunState:  anvilmodel.RunStateNotRun,
		Detail:    strings.Join(f.details, "; "),
		Accepted:  strings.Join(f.accepted, "; "),
	}
}
