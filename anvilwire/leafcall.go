package anvilwire

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilbridge/anvilmodel"
)

// LeafCall is a call as a leaf reads it from the headers.
type LeafCall struct {
	ID       anvilmodel.CallID
	Snapshot anvilmodel.Snapshot
	Shard    anvilmodel.Shard
	// Timeout is the time left when the call was handed over.
	Timeout time.Duration
	// Ticket is absent for idempotent calls.
	Ticket anvilmodel.Ticket
}

// LeafRequestID returns the id that leafs see: <origin>.<request id>. It
// carries the origin so that equal request ids at two nodes do not cross.
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

// ParseCallID reads the id that leafs see and the attempt. It returns Malformed.
func ParseCallID(request, attempt string) (anvilmodel.CallID, error) {
	origin, id, found := strings.Cut(request, ".")
	if !found || !ValidName(id) {
		return anvilmodel.CallID{}, Malformed.New("decode request id %q: want <origin>.<request id>", request)
	}
	o, err := strconv.ParseUint(origin, 10, 64)
	if err != nil {
		return anvilmodel.CallID{}, Malformed.Wrap(err, "decode origin of request id %q", request)
	}
	n, err := strconv.ParseUint(attempt, 10, 31)
	if err != nil {
		return anvilmodel.CallID{}, Malformed.Wrap(err, "decode attempt")
	}
	return anvilmodel.CallID{
		Request: anvilmodel.RequestID(id),
		Origin:  anvilmodel.Incarnation(o),
		Attempt: int(n),
	}, nil
}

// callHeaders is the number of headers of a call without its ticket.
const callHeaders = 5

// CallHeader returns the headers of a call to a leaf.
func CallHeader(c *anvilmodel.Call) http.Header {
	// One array holds all values; the map of net/http wants slices.
	values := [callHeaders + 1]string{
		LeafRequestID(c.ID),
		strconv.Itoa(c.ID.Attempt),
		strconv.FormatUint(uint64(c.Snapshot), 10),
		strconv.Itoa(int(c.Shard)),
		c.Timeout.String(),
		"",
	}
	h := make(http.Header, callHeaders+2)
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

// DecodeCallHeader reads the headers of a call to a leaf. It returns Malformed.
func DecodeCallHeader(h http.Header) (LeafCall, error) {
	id, err := ParseCallID(first(h, HeaderRequestID), first(h, HeaderAttempt))
	if err != nil {
		return LeafCall{}, err
	}
	snapshot, err := headerUint(h, HeaderSnapshot, 64, true)
	if err != nil {
		return LeafCall{}, err
	}
	shard, err := headerUint(h, HeaderShard, 31, true)
	if err != nil {
		return LeafCall{}, err
	}
	timeout, err := parseDuration(first(h, HeaderTimeout), "header "+HeaderTimeout)
	if err != nil {
		return LeafCall{}, err
	}
	if timeout == 0 {
		return LeafCall{}, Malformed.New("decode header %s: the call has no time left", HeaderTimeout)
	}
	c := LeafCall{
		ID:       id,
		Snapshot: anvilmodel.Snapshot(snapshot),
		Shard:    anvilmodel.Shard(shard),
		Timeout:  timeout,
	}
	if text := first(h, HeaderTicket); text != "" {
		c.Ticket, err = ParseTicket(text)
	}
	return c, err
}
