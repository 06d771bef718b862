package anvilwire

import (
	"net/http"
	"strconv"

	"anvilbridge/anvilmodel"
)

// Headers in the canonical form of net/http, so that they can index an
// http.Header without conversion.
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

// first returns the first value of a header by its canonical name.
func first(h http.Header, name string) string {
	values := h[name]
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// headerUint reads a decimal header; required says whether it may be absent.
func headerUint(h http.Header, name string, bits int, required bool) (uint64, error) {
	text := first(h, name)
	if text == "" && !required {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, Malformed.Wrap(err, "decode header %s", name)
	}
	return n, nil
}

// headerBool reads a true or false header; absent is false.
func headerBool(h http.Header, name string) (bool, error) {
	switch text := first(h, name); text {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	default:
		return false, Malformed.New("decode header %s: %q is neither true nor false", name, text)
	}
}

// ParseRunState reads the protocol name of a run state; anything that is not
// a certain statement is unknown.
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
