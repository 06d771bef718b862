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
	// maxPreallocatedBody is the largest Content-Length, in bytes, for which memory is
	// allocated before the body arrives.
	maxPreallocatedBody = 64 << 10
	// maxDiscardedBytes limits how much is read of the body of a refused query.
	maxDiscardedBytes = 1 << 20
)

// queryRequest is the request of the query endpoint.
type queryRequest struct {
	query     anvilwire.Query
	arrivedAt time.Time
	// refusal is set if the query could not be decoded.
	refusal *anvilmodel.Refusal
	// run is set once the query is admitted.
	run QueryFunc
}

// decodeQuery reads a query. The headers are decoded first, because the timeout
// determines how long the body may take to arrive. The size of the body is limited by
// queryHandler.
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
	// The HTTP server removes the deadline after it has read the whole body. Setting it
	// cannot fail on connections of an HTTP server.
	_ = c.SetReadDeadline(q.arrivedAt.Add(min(timeout, bodyTimeout)))
	q.query.Body, q.refusal = readBody(r, timeout)
	if q.refusal != nil {
		q.refusal.RequestID = q.query.ID
		return q
	}
	// The time that the body took to arrive counts against the caller's timeout.
	q.query.Timeout -= time.Since(q.arrivedAt)
	if q.query.Timeout <= 0 {
		q.refusal = lateBodyRefusal(q.query.ID, timeout)
	}
	return q
}

// discardBody reads the rest of the request within limits. If the connection were
// closed at once, the caller could lose the refusal.
func discardBody(r *http.Request, c *http.ResponseController) {
	_ = c.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	// The refusal is sent even if reading fails.
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
}

// readBody reads the body. If that fails, it returns a refusal with the run state
// not-run.
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

// readAll reads a short body of known length into a slice of that length. Memory for
// larger bodies is allocated as they arrive.
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
