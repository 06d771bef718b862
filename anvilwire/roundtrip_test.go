package anvilwire_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

var (
	names     = rapid.StringMatching(`[A-Za-z0-9._~-]{1,40}`)
	durations = rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "duration"))
	})
	addresses = rapid.Custom(func(t *rapid.T) netip.AddrPort {
		ip := netip.AddrFrom4([4]byte{127, 0, 0, rapid.Byte().Draw(t, "host")})
		return netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port"))
	})
	tickets = rapid.Custom(func(t *rapid.T) anvilmodel.Ticket {
		return anvilmodel.Ticket{
			Incarnation: anvilmodel.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			Epoch:       rapid.Uint32().Draw(t, "epoch"),
			ID:          rapid.StringMatching(`[0-9a-f]{32}`).Draw(t, "id"),
		}
	})
	callIDs = rapid.Custom(func(t *rapid.T) anvilmodel.CallID {
		return anvilmodel.CallID{
			Request: anvilmodel.RequestID(names.Draw(t, "request")),
			Origin:  anvilmodel.Incarnation(rapid.Uint64().Draw(t, "origin")),
			Attempt: rapid.IntRange(0, 1<<31-1).Draw(t, "attempt"),
		}
	})
	holdings = rapid.Custom(func(t *rapid.T) anvilmodel.Holding {
		shards := rapid.IntRange(1, 1000).Draw(t, "shards")
		return anvilmodel.Holding{
			Snapshot:   anvilmodel.Snapshot(rapid.Uint64().Draw(t, "snapshot")),
			Shard:      anvilmodel.Shard(rapid.IntRange(0, shards-1).Draw(t, "shard")),
			ShardCount: shards,
		}
	})
	bodies  = rapid.OneOf(rapid.SliceOf(rapid.Byte()), rapid.Map(rapid.String(), func(s string) []byte { return []byte(s) }))
	answers = rapid.Custom(func(t *rapid.T) anvilmodel.Answer {
		parts := rapid.Custom(func(t *rapid.T) anvilmodel.Part {
			return anvilmodel.Part{
				Shard: anvilmodel.Shard(rapid.IntRange(0, 99).Draw(t, "shard")),
				Body:  bodies.Draw(t, "body"),
			}
		})
		missing := rapid.Map(rapid.IntRange(0, 99), func(n int) anvilmodel.Shard { return anvilmodel.Shard(n) })
		return anvilmodel.Answer{
			RequestID: anvilmodel.RequestID(names.Draw(t, "request")),
			Snapshot:  anvilmodel.Snapshot(rapid.Uint64().Draw(t, "snapshot")),
			Coverage: anvilmodel.Coverage{
				Covered: rapid.IntRange(0, 99).Draw(t, "covered"),
				Total:   rapid.IntRange(0, 99).Draw(t, "total"),
				Missing: rapid.SliceOf(missing).Draw(t, "missing"),
			},
			Parts:   rapid.SliceOf(parts).Draw(t, "parts"),
			Elapsed: durations.Draw(t, "took"),
		}
	})
)

// requireEqual fails the test with a diff unless the values are equal. Nil and
// empty slices are equal.
func requireEqual(t *rapid.T, want, got any) {
	t.Helper()
	options := []cmp.Option{
		cmpopts.EquateEmpty(),
		cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	}
	if diff := cmp.Diff(want, got, options...); diff != "" {
		t.Fatalf("round trip (-want +got):\n%s", diff)
	}
}

// requireRoundTrip fails the test unless decoding the encoded value gives the
// value again and encoding keeps what the buffer held before.
func requireRoundTrip[T any](t *rapid.T, v T, encode func([]byte, T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	body, err := encode([]byte("kept"), v)
	if err != nil {
		t.Fatal(err)
	}
	if string(body[:4]) != "kept" {
		t.Fatalf("the encoder overwrote the contents of the buffer: %q", body[:4])
	}
	got, err := decode(body[4:])
	if err != nil {
		t.Fatal(err)
	}
	requireEqual(t, v, got)
}

// withPointer adapts an encoder that takes a pointer to one that takes a value.
func withPointer[T any](encode func([]byte, *T) ([]byte, error)) func([]byte, T) ([]byte, error) {
	return func(dst []byte, v T) ([]byte, error) {
		return encode(dst, &v)
	}
}

// TestBodiesRoundTrip guards against a codec that loses or changes a field, in
// particular the body of a part that is not valid UTF-8.
func TestBodiesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requireRoundTrip(t, answers.Draw(t, "answer"), withPointer(anvilwire.AppendAnswer), anvilwire.DecodeAnswer)
		requireRoundTrip(t, &anvilmodel.Refusal{
			RequestID:  anvilmodel.RequestID(names.Draw(t, "request")),
			Reason:     anvilmodel.RefusalReason(names.Draw(t, "reason")),
			RunState:   rapid.SampledFrom([]anvilmodel.RunState{0, 1, 2}).Draw(t, "ran"),
			Detail:     rapid.String().Draw(t, "detail"),
			Accepted:   rapid.String().Draw(t, "accepted"),
			RetryAfter: durations.Draw(t, "retry-after"),
		}, anvilwire.AppendRefusal, anvilwire.DecodeRefusal)
		requireRoundTrip(t, anvilmodel.LeafState{
			Incarnation: anvilmodel.Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation")),
			Cold:        rapid.Bool().Draw(t, "cold"),
			Draining:    rapid.Bool().Draw(t, "draining"),
			Load:        rapid.Float64Range(0, 10).Draw(t, "load"),
			Holdings:    rapid.SliceOf(holdings).Draw(t, "holdings"),
		}, withPointer(anvilwire.AppendLeafState), anvilwire.DecodeLeafState)
	})
}

// TestPlatformRoundTrip guards against codecs that change configuration
// documents, listed VMs or addresses.
func TestPlatformRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		documents := rapid.Custom(func(t *rapid.T) anvilwire.Document {
			return anvilwire.Document{
				Name:    names.Draw(t, "name"),
				Content: []byte(rapid.String().Draw(t, "content")),
			}
		})
		requireRoundTrip(t, anvilwire.ConfigReply{
			Version:   rapid.Uint64().Draw(t, "version"),
			Documents: rapid.SliceOfDistinct(documents, func(d anvilwire.Document) string { return d.Name }).Draw(t, "documents"),
		}, withPointer(anvilwire.AppendConfigReply), anvilwire.DecodeConfigReply)
		vms := rapid.Custom(func(t *rapid.T) anvilmodel.ListedVM {
			return anvilmodel.ListedVM{
				Name:          anvilmodel.VMName(names.Draw(t, "name")),
				CallerAddress: addresses.Draw(t, "address"),
				PeerAddress:   addresses.Draw(t, "peer-address"),
				FailureDomain: anvilmodel.FailureDomain(names.Draw(t, "failure-domain")),
				Leaving:       rapid.Bool().Draw(t, "leaving"),
			}
		})
		requireRoundTrip(t, rapid.SliceOf(vms).Draw(t, "vms"), anvilwire.AppendVMList, anvilwire.DecodeVMList)
		members := rapid.Custom(func(t *rapid.T) anvilmodel.Member {
			return anvilmodel.Member{
				Name:          anvilmodel.VMName(names.Draw(t, "name")),
				FailureDomain: anvilmodel.FailureDomain(names.Draw(t, "failure-domain")),
				CallerAddress: addresses.Draw(t, "address"),
				Incarnation:   anvilmodel.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
				TicketEpoch:   rapid.Uint32().Draw(t, "epoch"),
			}
		})
		requireRoundTrip(t, anvilwire.AddressList{
			Members:  rapid.SliceOf(members).Draw(t, "members"),
			Lifetime: durations.Draw(t, "lifetime"),
		}, withPointer(anvilwire.AppendAddresses), anvilwire.DecodeAddresses)
	})
}

// TestHeadersRoundTrip guards against an encoder and a decoder that disagree on
// the name or the format of a header.
func TestHeadersRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		query := anvilwire.Query{
			ID:      anvilmodel.RequestID(names.Draw(t, "id")),
			Service: anvilmodel.ServiceName(names.Draw(t, "service")),
			Class:   anvilmodel.ClassName(names.Draw(t, "class")),
			Timeout: durations.Draw(t, "timeout"),
			Key:     rapid.StringMatching(`[ -~]{0,128}`).Draw(t, "key"),
			Ticket:  tickets.Draw(t, "ticket"),
			Body:    bodies.Draw(t, "body"),
		}
		gotQuery, refusal := anvilwire.DecodeQuery(query.Header(), query.Body)
		if refusal != nil {
			t.Fatal(refusal)
		}
		requireEqual(t, query, gotQuery)
		call := anvilmodel.Call{
			ID:       callIDs.Draw(t, "call"),
			Snapshot: anvilmodel.Snapshot(rapid.Uint64().Draw(t, "snapshot")),
			Shard:    anvilmodel.Shard(rapid.IntRange(0, 999).Draw(t, "shard")),
			Timeout:  durations.Draw(t, "timeout"),
			Ticket:   tickets.Draw(t, "ticket"),
		}
		gotCall, err := anvilwire.DecodeCallHeader(anvilwire.CallHeader(&call))
		if err != nil {
			t.Fatal(err)
		}
		requireEqual(t, anvilwire.LeafCall{
			ID:       call.ID,
			Snapshot: call.Snapshot,
			Shard:    call.Shard,
			Timeout:  call.Timeout,
			Ticket:   call.Ticket,
		}, gotCall)
		reply := anvilmodel.CallReply{
			ID:          call.ID,
			Result:      anvilmodel.CallOK,
			RunState:    anvilmodel.RunStateRun,
			Incarnation: anvilmodel.Incarnation(rapid.Uint64Min(1).Draw(t, "incarnation")),
			Holding:     holdings.Draw(t, "holding"),
			Load:        float64(rapid.IntRange(0, 64).Draw(t, "load")) / 16,
			Cold:        rapid.Bool().Draw(t, "cold"),
			Draining:    rapid.Bool().Draw(t, "draining"),
			RetryAfter:  time.Duration(rapid.IntRange(0, 60).Draw(t, "retry-after")) * time.Second,
			Body:        bodies.Draw(t, "reply"),
		}
		h := make(http.Header)
		anvilwire.SetLeafReplyHeader(h, &reply)
		gotReply, err := anvilwire.DecodeLeafReply(call.ID, anvilwire.LeafReplyStatus(reply.Result), h, reply.Body)
		if err != nil {
			t.Fatal(err)
		}
		requireEqual(t, reply, gotReply)
	})
}

// TestOutcomeRoundTrip guards against an outcome whose recorded answer differs
// from the answer that was encoded.
func TestOutcomeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := answers.Draw(t, "answer")
		record, err := anvilwire.AppendAnswer(nil, &want)
		if err != nil {
			t.Fatal(err)
		}
		ticket := tickets.Draw(t, "ticket")
		body, err := anvilwire.AppendOutcome(nil, &anvilwire.Outcome{
			Ticket: ticket,
			State:  anvilwire.OutcomeRun,
			Record: record,
		})
		if err != nil {
			t.Fatal(err)
		}
		outcome, err := anvilwire.DecodeOutcome(body)
		if err != nil {
			t.Fatal(err)
		}
		if outcome.Ticket != ticket || outcome.State != anvilwire.OutcomeRun {
			t.Fatalf("got ticket %v and state %s", outcome.Ticket, outcome.State)
		}
		got, refusal, err := anvilwire.DecodeRecord(outcome.Record)
		if err != nil || refusal != nil {
			t.Fatal(refusal, err)
		}
		requireEqual(t, want, *got)
	})
}
