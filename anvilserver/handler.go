package anvilserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const contentTypeJSON = "application/json"

func queryHandler(e endpoint.Endpoint, maxBodyBytes func() int) http.Handler {
	decode := func(_ context.Context, r *http.Request) (any, error) {
		arrived := time.Now()
		body, refusal := readBody(r, maxBodyBytes())
		if refusal != nil {
			return nil, refusal
		}
		query, refusal := anvilwire.DecodeQuery(r.Header, body)
		if refusal != nil {
			return nil, refusal
		}
		// Reading the body may have used up a part of the caller's time.
		query.Timeout -= time.Since(arrived)
		return queryRequest{
			query:   query,
			arrived: arrived,
		}, nil
	}
	encode := func(_ context.Context, w http.ResponseWriter, response any) error {
		answer := response.(*anvilmodel.Answer)
		body, err := anvilwire.AppendAnswer(nil, answer)
		if err != nil {
			return err
		}
		anvilwire.SetReplyIdentity(w.Header(), answer.RequestID, body)
		writeJSON(w, http.StatusOK, body)
		return nil
	}
	return httptransport.NewServer(e, decode, encode, httptransport.ServerErrorEncoder(encodeRefusal))
}

func outcomeHandler(e endpoint.Endpoint) http.Handler {
	decode := func(_ context.Context, r *http.Request) (any, error) {
		ticket, err := anvilwire.ParseTicket(r.URL.Query().Get("ticket"))
		if err != nil || ticket.IsZero() {
			return nil, &anvilmodel.Refusal{
				Reason:   anvilmodel.ReasonBadTicket,
				Ran:      anvilmodel.RunStateUnknown,
				Detail:   "the query parameter ticket names no ticket",
				Accepted: "<incarnation>.<epoch>.<32 hex digits>",
			}
		}
		return ticket, nil
	}
	encode := func(_ context.Context, w http.ResponseWriter, response any) error {
		outcome := response.(anvilwire.Outcome)
		body, err := anvilwire.AppendOutcome(nil, &outcome)
		if err != nil {
			return err
		}
		writeWhole(w, http.StatusOK, body)
		return nil
	}
	return httptransport.NewServer(e, decode, encode, httptransport.ServerErrorEncoder(encodeRefusal))
}

func addressHandler(e endpoint.Endpoint) http.Handler {
	decode := func(_ context.Context, r *http.Request) (any, error) {
		domain := r.URL.Query().Get("failure-domain")
		if domain != "" && !anvilwire.ValidName(domain) {
			return nil, &anvilmodel.Refusal{
				Reason:   anvilmodel.ReasonBadRequest,
				Ran:      anvilmodel.RunStateNotRun,
				Detail:   "the query parameter failure-domain is not a name",
				Accepted: "1 to 128 letters, digits, '-', '_', '.' or '~'",
			}
		}
		return anvilmodel.FailureDomain(domain), nil
	}
	encode := func(_ context.Context, w http.ResponseWriter, response any) error {
		answer := response.(anvilwire.AddressAnswer)
		body, err := anvilwire.AppendAddresses(nil, &answer)
		if err != nil {
			return err
		}
		writeWhole(w, http.StatusOK, body)
		return nil
	}
	return httptransport.NewServer(e, decode, encode, httptransport.ServerErrorEncoder(encodeRefusal))
}

func statusHandler(status func() ([]byte, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		body, err := status()
		if err != nil {
			writeText(w, http.StatusInternalServerError, "encoding the status: "+err.Error()+"\n")
			return
		}
		writeWhole(w, http.StatusOK, body)
	}
}

// readBody reads at most limit bytes. A request whose body cannot be read has
// not been run.
func readBody(r *http.Request, limit int) ([]byte, *anvilmodel.Refusal) {
	refusal := &anvilmodel.Refusal{
		RequestID: anvilmodel.RequestID(r.Header.Get(anvilwire.HeaderRequestID)),
		Ran:       anvilmodel.RunStateNotRun,
		Accepted:  fmt.Sprintf("a body of at most %d bytes", limit),
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		refusal.Reason = anvilmodel.ReasonBadRequest
		refusal.Detail = "reading the body: " + err.Error()
		return nil, refusal
	}
	if len(body) > limit {
		refusal.Reason = anvilmodel.ReasonBodyTooLarge
		refusal.Detail = fmt.Sprintf("the body has more than %d bytes", limit)
		return nil, refusal
	}
	return body, nil
}

func encodeRefusal(_ context.Context, err error, w http.ResponseWriter) {
	refusal := asRefusal("", err)
	body, err := anvilwire.AppendRefusal(nil, refusal)
	if err != nil {
		writeText(w, http.StatusInternalServerError, "encoding the refusal: "+err.Error()+"\n")
		return
	}
	anvilwire.SetRefusalHeader(w.Header(), refusal)
	anvilwire.SetReplyIdentity(w.Header(), refusal.RequestID, body)
	writeJSON(w, anvilwire.Status(refusal.Reason), body)
}

func asRefusal(id anvilmodel.RequestID, err error) *anvilmodel.Refusal {
	var refusal *anvilmodel.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &anvilmodel.Refusal{
		RequestID: id,
		Reason:    anvilmodel.ReasonUpstream,
		Ran:       anvilmodel.RunStateUnknown,
		Detail:    err.Error(),
	}
}

func writeWhole(w http.ResponseWriter, status int, body []byte) {
	anvilwire.SetIntegrity(w.Header(), body)
	writeJSON(w, status, body)
}

// A failed write means that the caller has gone; there is nobody to tell.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set(anvilwire.HeaderContentType, contentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set(anvilwire.HeaderContentType, "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}
