package anvilwire

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilbridge/anvilmodel"
)

// LeafCall is a call as a leaf decodes it from the request headers.
type LeafCall struct {
	ID       anvilmodel.CallID
	Snapshot anvilmodel.Snapshot
	Shard    anvilmodel.Shard
	// Timeout is the time that was left when the call was sent.
	Timeout time.Duration
	// Ticket is zero for idempotent calls.
	Ticket anvilmodel.Ticket
}

// LeafRequestID returns the request id that is sent to leaves:
// <origin>.<request id>. The origin distinguishes equal request ids of two
// nodes.
func LeafRequestID(id anvilmodel.CallID) string {
	buf := make([]byte, 0, 21+len(id.Request))
	buf = strconv.AppendUint(buf, uint64(id.Origin), 10)
	buf = append(buf, '.')
	buf = append(buf, id.Request...)
	return string(buf)
}

// LeafCallPath returns the path of the DELETE request that cancels a call.
func LeafCallPath(id anvilmodel.CallID) string {
	return PathLeafCall + "/" + LeafRequestID(id) + "/" + strconv.Itoa(id.Attempt)
}

// ParseCallID parses a request id in the form of LeafRequestID and an attempt
// number. Invalid input gives a Malformed error.
func ParseCallID(request, attempt string) (anvilmodel.CallID, error) {
	origin, id, found := strings.Cut(request, ".")
	if !found || !ValidName(id) {
		return anvilmodel.CallID{}, Malformed.New("decode request id %q: want <origin>.<request id>", request)
	}
	originNumber, err := strconv.ParseUint(origin, 10, 64)
	if err != nil {
		return anvilmodel.CallID{}, Malformed.Wrap(err, "decode origin of request id %q", request)
	}
	attemptNumber, err := strconv.ParseUint(attempt, 10, 31)
	if err != nil {
		return anvilmodel.CallID{}, Malformed.Wrap(err, "decode attempt")
	}
	return anvilmodel.CallID{
		Request: anvilmodel.RequestID(id),
		Origin:  anvilmodel.Incarnation(originNumber),
		Attempt: int(attemptNumber),
	}, nil
}

// callHeaderCount is the number of headers of a call without a ticket.
const callHeaderCount = 5

// CallHeader returns the headers of a call to a leaf.
func CallHeader(c *anvilmodel.Call) http.Header {
	// One array backs the one-element slices that http.Header needs, so that
	// they take a single allocation.
	values := [callHeaderCount + 1]string{
		LeafRequestID(c.ID),
		strconv.Itoa(c.ID.Attempt),
		strconv.FormatUint(uint64(c.Snapshot), 10),
		strconv.Itoa(int(c.Shard)),
		c.Timeout.String(),
		"",
	}
	h := make(http.Header, callHeaderCount+2)
	h[HeaderRequestID] = values[0:1:1]
	h[HeaderAttempt] = values[1:2:2]
	h[HeaderSnapshot] = values[2:3:3]
	h[HeaderShard] = values[3:4:4]
	h[HeaderTimeout] = values[4:5:5]
	if !c.Ticket.IsZero() {
		values[5] = FormatTicket(c.Ticket)
		h[HeaderTicket] = values[5:6:6]
	}
	return h
}

// DecodeCallHeader parses the headers of a call to a leaf. Invalid headers give
// a Malformed error.
func DecodeCallHeader(h http.Header) (LeafCall, error) {
	id, err := ParseCallID(firstValue(h, HeaderRequestID), firstValue(h, HeaderAttempt))
	if err != nil {
		return LeafCall{}, err
	}
	snapshot, err := parseHeaderUint(h, HeaderSnapshot, 64, true)
	if err != nil {
		return LeafCall{}, err
	}
	shard, err := parseHeaderUint(h, HeaderShard, 31, true)
	if err != nil {
		return LeafCall{}, err
	}
	timeout, err := parseDuration(firstValue(h, HeaderTimeout), "header "+HeaderTimeout)
	if err != nil {
		return LeafCall{}, err
	}
	if timeout == 0 {
		return LeafCall{}, Malformed.New("decode header %s: timeout is missing or zero", HeaderTimeout)
	}
	c := LeafCall{
		ID:       id,
		Snapshot: anvilmodel.Snapshot(snapshot),
		Shard:    anvilmodel.Shard(shard),
		Timeout:  timeout,
	}
	if text := firstValue(h, HeaderTicket); text != "" {
		c.Ticket, err = ParseTicket(text)
	}
	return c, err
}
