// Package anvilwire implements the encodings of the HTTP protocols between
// callers, nodes, leaves and the platform. It converts between the wire types and
// the domain types of anvilmodel.
//
// JSON keys are in kebab-case. Durations are written as Go durations ("250ms").
// Encoders append to a given slice, so that a server can reuse one buffer per
// connection.
package anvilwire

import (
	"bytes"
	"encoding/json"
	"time"
)

// URL paths of the protocols.
const (
	PathAddresses  = "/v1/addresses"
	PathQuery      = "/v1/query"
	PathOutcome    = "/v1/outcome"
	PathLeafCall   = "/leaf/v1/call"
	PathLeafState  = "/leaf/v1/state"
	PathConfigRead = "/config/v1/read"
	PathVMList     = "/vms/v1/list"
)

// URL query parameters.
const (
	ParameterFailureDomain = "failure-domain"
	ParameterTicket        = "ticket"
	ParameterAfter         = "after"
	ParameterWait          = "wait"
)

// ContentType is the media type of all JSON bodies.
const ContentType = "application/json"

// sliceWriter is an io.Writer that appends to a slice.
type sliceWriter struct {
	data []byte
}

func (w *sliceWriter) Write(p []byte) (int, error) {
	w.data = append(w.data, p...)
	return len(p), nil
}

// appendJSON appends the JSON encoding of the value and a newline. The name of
// the value is for error messages.
func appendJSON(dst []byte, value any, name string) ([]byte, error) {
	w := sliceWriter{
		data: dst,
	}
	enc := json.NewEncoder(&w)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return dst, Malformed.Wrap(err, "encode %s", name)
	}
	return w.data, nil
}

// decodeJSON parses a single JSON value; any data after it is an error. The name
// of the value is for error messages.
func decodeJSON(body []byte, target any, name string) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return Malformed.New("decode %s: body is empty", name)
	}
	if err := json.Unmarshal(body, target); err != nil {
		return Malformed.Wrap(err, "decode %s", name)
	}
	return nil
}

// parseDuration parses a Go duration that is not negative; an empty text is
// zero.
func parseDuration(text, name string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, Malformed.Wrap(err, "decode %s", name)
	}
	if d < 0 {
		return 0, Malformed.New("decode %s: %q is negative", name, text)
	}
	return d, nil
}

// formatDuration formats a duration. Zero gives an empty string, which omitempty
// leaves out of JSON bodies.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
