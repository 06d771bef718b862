package anvilwire

import (
	"net/http"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
)

type refusalBody struct {
	RequestID  string `json:"request-id"`
	Reason     string `json:"reason"`
	Ran        string `json:"ran"`
	Detail     string `json:"detail"`
	Accepted   string `json:"accepted,omitempty"`
	RetryAfter string `json:"retry-after,omitempty"`
}

// AppendRefusal appends the JSON encoding of a refusal.
func AppendRefusal(dst []byte, r *anvilmodel.Refusal) ([]byte, error) {
	body := refusalBody{
		RequestID:  string(r.RequestID),
		Reason:     string(r.Reason),
		Ran:        r.RunState.String(),
		Detail:     r.Detail,
		Accepted:   r.Accepted,
		RetryAfter: formatDuration(r.RetryAfter),
	}
	return appendJSON(dst, &body, "refusal")
}

// DecodeRefusal parses the JSON encoding of a refusal. Invalid input gives a
// Malformed error.
func DecodeRefusal(data []byte) (*anvilmodel.Refusal, error) {
	var body refusalBody
	if err := decodeJSON(data, &body, "refusal"); err != nil {
		return nil, err
	}
	if body.Reason == "" {
		return nil, Malformed.New("decode refusal: reason is missing")
	}
	after, err := parseDuration(body.RetryAfter, "retry-after of refusal")
	if err != nil {
		return nil, err
	}
	return &anvilmodel.Refusal{
		RequestID:  anvilmodel.RequestID(body.RequestID),
		Reason:     anvilmodel.RefusalReason(body.Reason),
		RunState:   ParseRunState(body.Ran),
		Detail:     body.Detail,
		Accepted:   body.Accepted,
		RetryAfter: after,
	}, nil
}

// SetRefusalHeader sets the header with the run state and, if the refusal has a
// retry time, the Retry-After header. That header allows only whole seconds, so
// the time is rounded up.
func SetRefusalHeader(h http.Header, r *anvilmodel.Refusal) {
	h[HeaderRan] = []string{r.RunState.String()}
	setRetryAfter(h, r.RetryAfter)
}

func setRetryAfter(h http.Header, after time.Duration) {
	if after <= 0 {
		return
	}
	seconds := (after + time.Second - 1) / time.Second
	h[HeaderRetryAfter] = []string{strconv.FormatInt(int64(seconds), 10)}
}

// RefusalStatus returns the HTTP status of a refusal reason.
func RefusalStatus(reason anvilmodel.RefusalReason) int {
	switch reason {
	case anvilmodel.ReasonBadRequest, anvilmodel.ReasonBadTimeout:
		return http.StatusBadRequest
	case anvilmodel.ReasonUnknownService, anvilmodel.ReasonUnknownClass:
		return http.StatusNotFound
	case anvilmodel.ReasonBadTicket, anvilmodel.ReasonTicketUsed:
		return http.StatusConflict
	case anvilmodel.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case anvilmodel.ReasonOverload:
		return http.StatusTooManyRequests
	case anvilmodel.ReasonShed, anvilmodel.ReasonNoSnapshot, anvilmodel.ReasonNotReady,
		anvilmodel.ReasonLeaving, anvilmodel.ReasonFailureDomainOut:
		return http.StatusServiceUnavailable
	case anvilmodel.ReasonUpstream, anvilmodel.ReasonNodeLost:
		return http.StatusBadGateway
	case anvilmodel.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
