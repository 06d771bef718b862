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

// shortBody is the length of a body, in bytes, up to which the caller's word for
// it is taken.
const shortBody = 64 << 10

// queryRequest is the request type of the query endpoint.
type queryRequest struct {
	query   anvilwire.Query
	arrived time.Time
	// refusal is set when the query cannot be run as it is.
	refusal *anvilmodel.Refusal
}

// decodeQuery reads a query. The headers come first: without a timeout there is
// no telling how long the body may take.
func decodeQuery(r *http.Request, c *http.ResponseController, limit int) queryRequest {
	q := queryRequest{
		arrived: time.Now(),
	}
	q.query, q.refusal = anvilwire.DecodeQuery(r.Header, nil)
	if q.refusal != nil {
		q.query.ID = q.refusal.RequestID
		// What is left of the body is read after the refusal, but not for long. A
		// connection without deadlines is one of a test.
		_ = c.SetReadDeadline(q.arrived.Add(refusedBodyTimeout))
		return q
	}
	timeout := q.query.Timeout
	_ = c.SetReadDeadline(q.arrived.Add(min(timeout, bodyTimeout)))
	q.query.Body, q.refusal = readBody(r, limit, timeout)
	if q.refusal != nil {
		q.refusal.RequestID = q.query.ID
		return q
	}
	// Else the end of the deadline would look like the end of the connection.
	_ = c.SetReadDeadline(time.Time{})
	// Reading the body may have used up a part of the caller's time.
	q.query.Timeout -= time.Since(q.arrived)
	if q.query.Timeout <= 0 {
		q.refusal = lateBody(q.query.ID, timeout)
	}
	return q
}

// readBody reads at most limit bytes. A request whose body cannot be read has not
// been run.
func readBody(r *http.Request, limit int, timeout time.Duration) ([]byte, *anvilmodel.Refusal) {
	refusal := &anvilmodel.Refusal{
		Reason:   anvilmodel.ReasonBodyTooLarge,
		Ran:      anvilmodel.RunStateNotRun,
		Detail:   fmt.Sprintf("the body has more than %d bytes", limit),
		Accepted: fmt.Sprintf("a body of at most %d bytes", limit),
	}
	if r.ContentLength > int64(limit) {
		return nil, refusal
	}
	body, err := readAll(r, limit)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, lateBody("", timeout)
	case err != nil:
		refusal.Reason = anvilmodel.ReasonBadRequest
		refusal.Detail = "reading the body: " + err.Error()
		refusal.Accepted = "a whole body"
		return nil, refusal
	case len(body) > limit:
		return nil, refusal
	}
	return body, nil
}

// readAll reads a short body of known length into a slice of that length. Memory
// for a long one is taken as it arrives.
func readAll(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength >= 0 && r.ContentLength <= shortBody {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
}

func lateBody(id anvilmodel.RequestID, timeout time.Duration) *anvilmodel.Refusal {
	return &anvilmodel.Refusal{
		RequestID: id,
		Reason:    anvilmodel.ReasonDeadline,
		Ran:       anvilmodel.RunStateNotRun,
		Detail:    fmt.Sprintf("the body took longer to arrive than the %s of %s", timeout, anvilwire.HeaderTimeout),
		Accepted:  "a body that arrives well within " + anvilwire.HeaderTimeout,
	}
}
