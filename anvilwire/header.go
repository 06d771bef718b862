package anvilwire

import (
	"net/http"
	"strconv"

	"anvilbridge/anvilmodel"
)

// HTTP header names. They are in the canonical form of net/http, so that an
// http.Header can be indexed by them directly.
const (
	HeaderRequestID   = "Anvil-Request-Id"
	HeaderService     = "Anvil-Service"
	HeaderClass       = "Anvil-Class"
	HeaderTimeout     = "Anvil-Timeout"
	HeaderTicket      = "Anvil-Ticket"
	HeaderKey         = "Anvil-Key"
	HeaderLength      = "Anvil-Length"
	HeaderChecksum    = "Anvil-Checksum"
	HeaderAttempt     = "Anvil-Attempt"
	HeaderSnapshot    = "Anvil-Snapshot"
	HeaderShard       = "Anvil-Shard"
	HeaderShards      = "Anvil-Shards"
	HeaderIncarnation = "Anvil-Incarnation"
	HeaderLoad        = "Anvil-Load"
	HeaderCold        = "Anvil-Cold"
	HeaderDraining    = "Anvil-Draining"
	HeaderRan         = "Anvil-Ran"
	HeaderRetryAfter  = "Retry-After"
	HeaderContentType = "Content-Type"
)

// firstValue returns the first value of the header with the given canonical
// name, or "" if there is none.
func firstValue(h http.Header, name string) string {
	values := h[name]
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// parseHeaderUint parses a decimal header of at most the given number of bits.
// An absent header is an error if it is required, and 0 otherwise.
func parseHeaderUint(h http.Header, name string, bits int, required bool) (uint64, error) {
	text := firstValue(h, name)
	if text == "" && !required {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, Malformed.Wrap(err, "decode header %s", name)
	}
	return n, nil
}

// parseHeaderBool parses a header that is "true" or "false"; an absent header
// is false.
func parseHeaderBool(h http.Header, name string) (bool, error) {
	switch text := firstValue(h, name); text {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	default:
		return false, Malformed.New("decode header %s: got %q, want true or false", name, text)
	}
}

// ParseRunState parses the protocol name of a run state. Any text other than
// "run" and "not-run" gives RunStateUnknown.
func ParseRunState(text string) anvilmodel.RunState {
	switch text {
	case "not-run":
		return anvilmodel.RunStateNotRun
	case "run":
		return anvilmodel.RunStateRun
	default:
		return anvilmodel.RunStateUnknown
	}
}
