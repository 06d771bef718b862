// Package anvilwire holds the codecs of the HTTP protocols. It maps the wire
// types by hand to the domain types of anvilmodel.
//
// JSON keys are kebab-case. Durations are Go durations ("250ms"). Encoders
// append to the slice that they are handed, so that a server can reuse one
// buffer per connection.
package anvilwire

import (
	"bytes"
	"encoding/json"
	"time"
)

// Paths of the protocols.
const (
	PathAddresses  = "/v1/addresses"
	PathQuery      = "/v1/query"
	PathOutcome    = "/v1/outcome"
	PathLeafCall   = "/leaf/v1/call"
	PathLeafState  = "/leaf/v1/state"
	PathConfigRead = "/config/v1/read"
	PathVMList     = "/vms/v1/list"
)

// Parameters of URLs.
const (
	ParameterFailureDomain = "failure-domain"
	ParameterTicket        = "ticket"
	ParameterAfter         = "after"
	ParameterWait          = "wait"
)

// ContentType is the media type of every JSON body.
const ContentType = "application/json"

// appender is an io.Writer that appends to a slice.
type appender struct {
	data []byte
}

func (a *appender) Write(p []byte) (int, error) {
	a.data = append(a.data, p...)
	return len(p), nil
}

// appendJSON appends the value and a newline.
func appendJSON(dst []byte, value any, what string) ([]byte, error) {
	out := appender{
		data: dst,
	}
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(value); err != nil {
		return dst, Malformed.Wrap(err, "encode %s", what)
	}
	return out.data, nil
}

// decodeJSON reads one value; anything after it is an error.
func decodeJSON(body []byte, into any, what string) error {
	if len(bytes.TrimSpace(body)) == 0 {
		return Malformed.New("decode %s: the body is empty", what)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return Malformed.Wrap(err, "decode %s", what)
	}
	return nil
}

// parseDuration reads a Go duration; an empty text is zero.
func parseDuration(text, what string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, Malformed.Wrap(err, "decode %s", what)
	}
	if d < 0 {
		return 0, Malformed.New("decode %s: %q is negative", what, text)
	}
	return d, nil
}

// formatDuration writes zero as an empty text, which JSON bodies leave out.
func formatDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
