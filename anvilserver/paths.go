package anvilserver

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const (
	pathStatus  = "/v1/status"
	pathHealth  = "/healthz"
	pathReady   = "/readyz"
	pathMetrics = "/metrics"
)

// servedPaths lists the served paths and their methods.
var servedPaths = []struct {
	method, path string
}{
	{method: http.MethodPost, path: anvilwire.PathQuery},
	{method: http.MethodGet, path: anvilwire.PathOutcome},
	{method: http.MethodGet, path: anvilwire.PathAddresses},
	{method: http.MethodGet, path: pathStatus},
	{method: http.MethodGet, path: pathHealth},
	{method: http.MethodGet, path: pathReady},
	{method: http.MethodGet, path: pathMetrics},
}

// refuseUnknownPath refuses a request for an unknown path or with a method that the
// path does not accept.
func refuseUnknownPath(w http.ResponseWriter, r *http.Request) {
	refusal := &anvilmodel.Refusal{
		RequestID: requestID(r),
		Reason:    anvilmodel.ReasonBadRequest,
		RunState:  anvilmodel.RunStateNotRun,
		Detail:    fmt.Sprintf("there is no path %s", r.URL.Path),
	}
	accepted := []string{}
	for _, m := range servedPaths {
		accepted = append(accepted, m.method+" "+m.path)
		if m.path != r.URL.Path {
			continue
		}
		refusal.Detail = fmt.Sprintf("method %s is not served at %s", r.Method, r.URL.Path)
		refusal.Accepted = accepted[len(accepted)-1]
		w.Header().Set("Allow", m.method)
		writeRefusal(w, http.StatusMethodNotAllowed, refusal)
		return
	}
	refusal.Accepted = "one of " + strings.Join(accepted, ", ")
	writeRefusal(w, http.StatusNotFound, refusal)
}

// requestID returns the request id header, or "" if the header is not a valid name.
func requestID(r *http.Request) anvilmodel.RequestID {
	if id := r.Header.Get(anvilwire.HeaderRequestID); anvilwire.ValidName(id) {
		return anvilmodel.RequestID(id)
	}
	return ""
}

func encodeRefusal(_ context.Context, err error, w http.ResponseWriter) {
	refusal := asRefusal("", err)
	writeRefusal(w, anvilwire.RefusalStatus(refusal.Reason), refusal)
}

func writeRefusal(w http.ResponseWriter, status int, refusal *anvilmodel.Refusal) {
	body, err := anvilwire.AppendRefusal(nil, refusal)
	if err != nil {
		writeText(w, http.StatusInternalServerError, "encoding the refusal: "+err.Error()+"\n")
		return
	}
	anvilwire.SetRefusalHeader(w.Header(), refusal)
	anvilwire.SetReplyHeader(w.Header(), refusal.RequestID, body)
	writeJSON(w, status, body)
}
