package anvilwire_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

func decodeError[T any](decode func([]byte) (T, error)) func(string) error {
	return func(text string) error {
		_, err := decode([]byte(text))
		return err
	}
}

// TestBadInputIsMalformed guards against invalid input that is accepted, or
// that is rejected with an error of another type than Malformed.
func TestBadInputIsMalformed(t *testing.T) {
	t.Parallel()
	record := func(text string) error {
		_, _, err := anvilwire.DecodeRecord([]byte(text))
		return err
	}
	ticket := func(text string) error {
		_, err := anvilwire.ParseTicket(text)
		return err
	}
	cases := map[string]struct {
		decode func(string) error
		inputs []string
	}{
		"answer": {decodeError(anvilwire.DecodeAnswer), []string{
			``, ` `, `{`, `{} {}`, `[]`, `{"took":"1"}`, `{"took":"-1s"}`, `{"parts":[{"shard":1}]}`,
			`{"parts":[{"shard":1,"body":"","body-base64":""}]}`, `{"parts":[{"shard":1,"body-base64":"!"}]}`,
		}},
		"refusal":   {decodeError(anvilwire.DecodeRefusal), []string{``, `{}`, `{"reason":"shed","retry-after":"soon"}`}},
		"outcome":   {decodeError(anvilwire.DecodeOutcome), []string{``, `{"state":"run"}`, `{"ticket":"1.1.` + strings.Repeat("0", 32) + `","state":"maybe"}`}},
		"record":    {record, []string{``, `3`, `{"parts":[{}]}`}},
		"addresses": {decodeError(anvilwire.DecodeAddresses), []string{``, `{"lifetime":"x"}`, `{"addresses":[{"address":"host:1"}]}`}},
		"leaf state": {decodeError(anvilwire.DecodeLeafState), []string{
			``, `{}`, `{"incarnation":-1}`, `{"incarnation":1,"holdings":[{"shard":2,"shards":2}]}`, `{"incarnation":1,"holdings":[{"shard":-1,"shards":2}]}`,
		}},
		"configuration": {decodeError(anvilwire.DecodeConfigReply), []string{
			``, `{"version":-1}`, `{"documents":[{"content":"x"}]}`, `{"documents":[{"name":"a"},{"name":"a"}]}`,
		}},
		"VM list": {decodeError(anvilwire.DecodeVMList), []string{
			``, `{"vms":[{}]}`, `{"vms":[{"name":"a","address":"127.0.0.1:1","peer-address":"127.0.0.1:2","state":"gone"}]}`,
			`{"vms":[{"name":"a","address":"127.0.0.1:1","peer-address":"","state":"live"}]}`,
		}},
		"ticket": {ticket, []string{
			"", "1", "1.2", "1.2.", "1.2." + strings.Repeat("0", 31), "1.2." + strings.Repeat("A", 32), "01.2." + strings.Repeat("0", 32),
			"1.02." + strings.Repeat("0", 32), "+1.2." + strings.Repeat("0", 32), "1.4294967296." + strings.Repeat("0", 32),
			"1.2.3." + strings.Repeat("0", 32),
		}},
	}
	for name, c := range cases {
		for _, input := range c.inputs {
			if err := c.decode(input); !errorx.IsOfType(err, anvilwire.Malformed) {
				t.Errorf("%s %q: got %v, want a malformed error", name, input, err)
			}
		}
	}
}

// TestQueryErrorsAreReportedTogether guards against a refusal that reports only
// the first invalid header, so that callers need several attempts to correct a
// request, and against a refusal without a run state.
func TestQueryErrorsAreReportedTogether(t *testing.T) {
	t.Parallel()
	h := http.Header{
		anvilwire.HeaderRequestID: []string{"a/b"},
		anvilwire.HeaderClass:     []string{"buyer"},
		anvilwire.HeaderTimeout:   []string{"-1s"},
		anvilwire.HeaderTicket:    []string{"1.2"},
		anvilwire.HeaderKey:       []string{strings.Repeat("k", anvilwire.MaxNameBytes+1)},
	}
	_, got := anvilwire.DecodeQuery(h, nil)
	want := &anvilmodel.Refusal{
		Reason:   anvilmodel.ReasonBadRequest,
		RunState: anvilmodel.RunStateNotRun,
		Detail: "Anvil-Request-Id is not a name; Anvil-Service is missing; Anvil-Key is too long; " +
			"Anvil-Timeout is not a positive Go duration; Anvil-Ticket is not a ticket",
		Accepted: "Anvil-Request-Id of 1 to 128 characters from A-Z a-z 0-9 - . _ ~; Anvil-Service; Anvil-Key of at most 128 bytes; " +
			"Anvil-Timeout as a positive Go duration, for example 250ms; Anvil-Ticket as <incarnation>.<epoch>.<32 hex digits>",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}

// TestDamagedRepliesAreDetected guards against accepting a truncated or corrupt
// reply, or one that belongs to another request (requirement R5).
func TestDamagedRepliesAreDetected(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "body")
		position := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		h := make(http.Header)
		anvilwire.SetReplyHeader(h, "mine", body)
		if err := anvilwire.VerifyReply(h, "mine", body); err != nil {
			t.Fatal(err)
		}
		if err := anvilwire.VerifyReply(h, "other", body); !errorx.IsOfType(err, anvilwire.Crossed) {
			t.Fatalf("another request's reply: got %v", err)
		}
		if err := anvilwire.VerifyReply(h, "mine", body[:position]); !errorx.IsOfType(err, anvilwire.Truncated) {
			t.Fatalf("the first %d of %d bytes: got %v", position, len(body), err)
		}
		body[position] ^= rapid.ByteRange(1, 255).Draw(t, "change")
		if err := anvilwire.VerifyReply(h, "mine", body); !errorx.IsOfType(err, anvilwire.Corrupt) {
			t.Fatalf("byte %d changed: got %v", position, err)
		}
	})
}

// TestLeafReplies guards against treating a call as not run unless the leaf's
// reply states exactly that (requirement R6).
func TestLeafReplies(t *testing.T) {
	t.Parallel()
	id := anvilmodel.CallID{
		Request: "r",
		Origin:  7,
		Attempt: 3,
	}
	cases := []struct {
		status       int
		ran          string
		wantResult   anvilmodel.CallResult
		wantRunState anvilmodel.RunState
	}{
		{200, "", anvilmodel.CallOK, anvilmodel.RunStateRun},
		{503, "not-run", anvilmodel.CallShed, anvilmodel.RunStateNotRun},
		{503, "", anvilmodel.CallFailed, anvilmodel.RunStateUnknown},
		{503, "Not-Run", anvilmodel.CallFailed, anvilmodel.RunStateUnknown},
		{410, "not-run", anvilmodel.CallSnapshotGone, anvilmodel.RunStateNotRun},
		{499, "unknown", anvilmodel.CallCancelled, anvilmodel.RunStateUnknown},
		{504, "not-run", anvilmodel.CallTimeout, anvilmodel.RunStateNotRun},
		{500, "run", anvilmodel.CallFailed, anvilmodel.RunStateRun},
	}
	for _, c := range cases {
		h := make(http.Header)
		anvilwire.SetLeafReplyHeader(h, &anvilmodel.CallReply{
			ID:          id,
			Incarnation: 9,
			Holding: anvilmodel.Holding{
				Snapshot:   1,
				Shard:      0,
				ShardCount: 1,
			},
		})
		h.Set(anvilwire.HeaderRan, c.ran)
		got, err := anvilwire.DecodeLeafReply(id, c.status, h, nil)
		if err != nil || got.Result != c.wantResult || got.RunState != c.wantRunState {
			t.Errorf("status %d with %q: got %s, %s, %v; want %s, %s", c.status, c.ran, got.Result, got.RunState, err, c.wantResult, c.wantRunState)
		}
		h.Set(anvilwire.HeaderAttempt, "4")
		if _, err := anvilwire.DecodeLeafReply(id, c.status, h, nil); !errorx.IsOfType(err, anvilwire.Crossed) {
			t.Errorf("status %d of another attempt: got %v", c.status, err)
		}
	}
}

// TestRefusalStatus guards against a refusal reason without a status of its own,
// which callers would see as an internal server error, and against a
// Retry-After header that is rounded down.
func TestRefusalStatus(t *testing.T) {
	t.Parallel()
	for _, reason := range []anvilmodel.RefusalReason{
		anvilmodel.ReasonBadRequest, anvilmodel.ReasonUnknownService, anvilmodel.ReasonUnknownClass, anvilmodel.ReasonBadTimeout,
		anvilmodel.ReasonBodyTooLarge, anvilmodel.ReasonDeadline, anvilmodel.ReasonOverload, anvilmodel.ReasonShed, anvilmodel.ReasonNoSnapshot,
		anvilmodel.ReasonNotReady, anvilmodel.ReasonLeaving, anvilmodel.ReasonFailureDomainOut, anvilmodel.ReasonBadTicket,
		anvilmodel.ReasonTicketUsed, anvilmodel.ReasonUpstream, anvilmodel.ReasonNodeLost,
	} {
		if status := anvilwire.RefusalStatus(reason); status < 400 || status == http.StatusInternalServerError {
			t.Errorf("reason %s has status %d", reason, status)
		}
	}
	for after, want := range map[time.Duration]string{0: "", time.Millisecond: "1", time.Second: "1", 1001 * time.Millisecond: "2"} {
		h := make(http.Header)
		anvilwire.SetRefusalHeader(h, &anvilmodel.Refusal{RetryAfter: after})
		if got := h.Get(anvilwire.HeaderRetryAfter); got != want {
			t.Errorf("retry after %s: got %q, want %q", after, got, want)
		}
	}
}

func ExampleFormatTicket() {
	t := anvilmodel.Ticket{
		Incarnation: 1785110400000,
		Epoch:       4,
		ID:          "00112233445566778899aabbccddeeff",
	}
	fmt.Println(anvilwire.FormatTicket(t))
	// Output: 1785110400000.4.00112233445566778899aabbccddeeff
}
