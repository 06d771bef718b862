package anvilserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const contentTypeJSON = "application/json"

// controllerKey is the context key of the connection's http.ResponseController.
type controllerKey struct{}

func queryHandler(e endpoint.Endpoint, maxBodyBytes func() int) http.Handler {
	decode := func(ctx context.Context, r *http.Request) (any, error) {
		controller, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
		return decodeQuery(r, controller), nil
	}
	encode := func(_ context.Context, w http.ResponseWriter, response any) error {
		answer := response.(*anvilmodel.Answer)
		body, err := anvilwire.AppendAnswer(nil, answer)
		if err != nil {
			return err
		}
		anvilwire.SetReplyHeader(w.Header(), answer.RequestID, body)
		writeJSON(w, http.StatusOK, body)
		return nil
	}
	server := httptransport.NewServer(e, decode, encode, httptransport.ServerErrorEncoder(encodeRefusal))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		r.Body = http.MaxBytesReader(w, r.Body, int64(maxBodyBytes()))
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), controllerKey{}, controller)))
	})
}

func outcomeHandler(e endpoint.Endpoint) http.Handler {
	decode := func(_ context.Context, r *http.Request) (any, error) {
		ticket, err := anvilwire.ParseTicket(r.URL.Query().Get("ticket"))
		if err != nil || ticket.IsZero() {
			return nil, &anvilmodel.Refusal{
				Reason:   anvilmodel.ReasonBadTicket,
				RunState: anvilmodel.RunStateUnknown,
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
		writeJSONWithIntegrity(w, http.StatusOK, body)
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
				RunState: anvilmodel.RunStateNotRun,
				Detail:   "the query parameter failure-domain is not a name",
				Accepted: "1 to 128 letters, digits, '-', '_', '.' or '~'",
			}
		}
		return anvilmodel.FailureDomain(domain), nil
	}
	encode := func(_ context.Context, w http.ResponseWriter, response any) error {
		answer := response.(anvilwire.AddressList)
		body, err := anvilwire.AppendAddresses(nil, &answer)
		if err != nil {
			return err
		}
		writeJSONWithIntegrity(w, http.StatusOK, body)
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
		writeJSONWithIntegrity(w, http.StatusOK, body)
	}
}

func asRefusal(id anvilmodel.RequestID, err error) *anvilmodel.Refusal {
	var refusal *anvilmodel.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &anvilmodel.Refusal{
		RequestID: id,
		Reason:    anvilmodel.ReasonUpstream,
		RunState:  anvilmodel.RunStateUnknown,
		Detail:    err.Error(),
	}
}

func writeJSONWithIntegrity(w http.ResponseWriter, status int, body []byte) {
	anvilwire.SetIntegrity(w.Header(), body)
	writeJSON(w, status, body)
}

// writeJSON writes a reply. A failed write is ignored, because it means that the caller
// has disconnected.
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
