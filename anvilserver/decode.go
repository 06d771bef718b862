package anvilserver

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const (
	// shortBody is the length of a body, in bytes, up to which the caller's word
	// for it is taken.
	maxPreallocatedBody = 64 << 10
	// discardedBytes bounds what is read of the body of a refused query.
	maxDiscardedBytes = 1 << 20
)

// queryRequest is the request type of the query endpoint.
type queryRequest struct {
	query     anvilwire.Query
	arrivedAt time.Time
	// refusal is set when the query cannot be run as it is.
	refusal *anvilmodel.Refusal
	// run is set once the query is admitted.
	run QueryFunc
}

// decodeQuery reads a query. The headers come first: without a timeout there is
// no telling how long the body may take. The body is bounded by the caller.
func decodeQuery(r *http.Request, c *http.ResponseController) queryRequest {
	q := queryRequest{
		arrivedAt: time.Now(),
	}
	q.query, q.refusal = anvilwire.DecodeQuery(r.Header, nil)
	if q.refusal != nil {
		q.query.ID = q.refusal.RequestID
		discardBody(r, c)
		return q
	}
	timeout := q.query.Timeout
	// The HTTP server removes the deadline when it has read the whole body. It
	// accepts deadlines on all its connections.
	_ = c.SetReadDeadline(q.arrivedAt.Add(min(timeout, bodyTimeout)))
	q.query.Body, q.refusal = readBody(r, timeout)
	if q.refusal != nil {
		q.refusal.RequestID = q.query.ID
		return q
	}
	// Reading the body may have used up a part of the caller's time.
	q.query.Timeout -= time.Since(q.arrivedAt)
	if q.query.Timeout <= 0 {
		q.refusal = lateBodyRefusal(q.query.ID, timeout)
	}
	return q
}

// discardBody reads what a caller goes on sending, within limits. Closing the
// connection before could make the caller lose the refusal.
func discardBody(r *http.Request, c *http.ResponseController) {
	_ = c.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	// The refusal is sent in any case.
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}

// readBody reads the body. A request whose body cannot be read has not been run.
func readBody(r *http.Request, timeout time.Duration) ([]byte, *anvilmodel.Refusal) {
	body, err := readAll(r)
	if err == nil {
		return body, nil
	}
	refusal := &anvilmodel.Refusal{
		Reason:   anvilmodel.ReasonBadRequest,
		RunState: anvilmodel.RunStateNotRun,
		Detail:   "reading the body: " + err.Error(),
		Accepted: "a whole body",
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		refusal.Reason = anvilmodel.ReasonBodyTooLarge
		refusal.Detail = fmt.Sprintf("the body has more than %d bytes", tooLarge.Limit)
		refusal.Accepted = fmt.Sprintf("a body of at most %d bytes", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal = lateBodyRefusal("", timeout)
	}
	return nil, refusal
}

// readAll reads a short body of known length into a slice of that length. Memory
// for a long one is taken as it arrives.
func readAll(r *http.Request) ([]byte, error) {
	if r.ContentLength >= 0 && r.ContentLength <= maxPreallocatedBody {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(r.Body)
}

func lateBodyRefusal(id anvilmodel.RequestID, timeout time.Duration) *anvilmodel.Refusal {
	return &anvilmodel.Refusal{
		RequestID: id,
		Reason:    anvilmodel.ReasonDeadline,
		RunState:  anvilmodel.RunStateNotRun,
		Detail:    fmt.Sprintf("the body took longer to arrive than the %s of %s", timeout, anvilwire.HeaderTimeout),
		Accepted:  "a body that arrives well within " + anvilwire.HeaderTimeout,
	}
}
