package anvilpeer_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilrevision"
)

// sameOnWire treats nil and empty lists as equal, because they have the same encoding.
// Addresses have unexported fields and are compared with ==.
var sameOnWire = cmp.Options{
	cmpopts.EquateEmpty(),
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
}

func drawIncarnation(t *rapid.T) anvilmodel.Incarnation {
	return anvilmodel.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
}

// drawCall draws any call whose fields fit the ranges of the encoding.
func drawCall(t *rapid.T, number int) anvilmodel.Call {
	c := rapid.Make[anvilmodel.Call]().Draw(t, "call")
	c.ID.Attempt = number
	c.Priority = int(int32(c.Priority))
	c.Shard = anvilmodel.Shard(int32(c.Shard))
	c.Timeout = time.Hour
	if c.Ticket.IsZero() {
		c.Ticket = anvilmodel.Ticket{}
	}
	return c
}

// drawReply draws any reply whose fields fit the ranges of the encoding.
func drawReply(t *rapid.T, id anvilmodel.CallID) anvilmodel.CallReply {
	r := rapid.Make[anvilmodel.CallReply]().Draw(t, "reply")
	r.ID = id
	r.Result = anvilmodel.CallResult(int32(r.Result))
	r.RunState = anvilmodel.RunState(int32(r.RunState))
	r.Holding.Shard = anvilmodel.Shard(int32(r.Holding.Shard))
	r.Holding.ShardCount = int(int32(r.Holding.ShardCount))
	r.Load = rapid.Float64Range(0, 2).Draw(t, "load")
	r.RetryAfter = r.RetryAfter.Truncate(time.Microsecond)
	return r
}

// TestRelayRoundTrip guards against a field of a call or a reply that is lost or changed
// by encoding and decoding.
func TestRelayRoundTrip(t *testing.T) {
	next := make(chan anvilmodel.CallReply, 1)
	p := (&testPeer{
		submit: func(_ anvilmodel.Call, reply func(anvilmodel.CallReply)) { reply(<-next) },
	}).start(t, anvilpeer.Handlers{})
	count := 0
	rapid.Check(t, func(r *rapid.T) {
		count++
		call := drawCall(r, count)
		reply := drawReply(r, call.ID)
		next <- reply
		p.send(call)
		replies := p.awaitReplies(count)
		if diff := cmp.Diff(reply, replies[count-1], sameOnWire); diff != "" {
			r.Fatal(diff)
		}
		submitted, _ := p.recorded()
		got := submitted[count-1]
		// The time spent in the queue is subtracted.
		if got.Timeout <= 0 || got.Timeout > call.Timeout {
			r.Fatalf("timeout %s", got.Timeout)
		}
		got.Timeout = call.Timeout
		if diff := cmp.Diff(call, got, sameOnWire); diff != "" {
			r.Fatal(diff)
		}
	})
}

func drawMemberUpdate(t *rapid.T) anvilmember.MemberUpdate {
	name := rapid.StringMatching(`[a-z0-9-]{0,12}`)
	address := func() netip.AddrPort {
		if rapid.Bool().Draw(t, "no address") {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), rapid.Uint16().Draw(t, "port"))
	}
	return anvilmember.MemberUpdate{
		Member: anvilmodel.Member{
			Name:            anvilmodel.VMName(name.Draw(t, "name")),
			Slot:            anvilmodel.SlotName(name.Draw(t, "slot")),
			FailureDomain:   anvilmodel.FailureDomain(name.Draw(t, "domain")),
			CallerAddress:   address(),
			PeerAddress:     address(),
			Incarnation:     drawIncarnation(t),
			Status:          anvilmodel.MemberStatus(rapid.IntRange(0, 4).Draw(t, "status")),
			Serving:         rapid.Bool().Draw(t, "serving"),
			Load:            rapid.Float64Range(0, 2).Draw(t, "load"),
			RequestRate:     float64(rapid.Float32Range(0, 1e6).Draw(t, "request rate")),
			ConfigRevision:  rapid.Uint64().Draw(t, "revision"),
			ConfigEra:       rapid.Uint64().Draw(t, "era"),
			TicketEpoch:     rapid.Uint32().Draw(t, "epoch"),
			RefutationCount: rapid.Uint32().Draw(t, "counter"),
		},
		Version:   rapid.Uint32().Draw(t, "version"),
		Witnesses: rapid.SliceOfN(rapid.Make[anvilmodel.VMName](), 0, 3).Draw(t, "witnesses"),
	}
}

// TestProbeRoundTrip guards against member updates that are changed by encoding and
// decoding, and against a size estimate of the membership below the encoded size, with
// which messages would exceed its limit.
func TestProbeRoundTrip(t *testing.T) {
	var got anvilmember.ProbeRequest
	var answer anvilmember.ProbeReply
	p := (&testPeer{}).start(t, probeHandlers(func(request anvilmember.ProbeRequest) anvilmember.ProbeReply {
		got = request
		return answer
	}))
	var sent int
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		OnRequestSent: func(_ string, bytes int) { sent = bytes },
	})
	defer client.Close()
	rapid.Check(t, func(r *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawMemberUpdate), 0, 3)
		request := anvilmember.ProbeRequest{
			From:    drawMemberUpdate(r),
			Target:  "vm-1",
			Updates: updates.Draw(r, "updates"),
		}
		answer = anvilmember.ProbeReply{
			From:    drawMemberUpdate(r),
			Reached: rapid.Bool().Draw(r, "reached"),
			Updates: updates.Draw(r, "updates"),
		}
		reply, err := client.Probe(t.Context(), p.address, request)
		if err != nil {
			r.Fatal(err)
		}
		if diff := cmp.Diff(request, got, sameOnWire); diff != "" {
			r.Fatal(diff)
		}
		if diff := cmp.Diff(answer, reply, sameOnWire); diff != "" {
			r.Fatal(diff)
		}
		if size := anvilmember.RequestSize(request); sent > size {
			r.Fatalf("request has %d bytes, its size is estimated as %d", sent, size)
		}
	})
}

// TestControlRoundTrips guards against fields of the other messages that are lost by
// encoding and decoding, and against errors of other types than documented.
func TestControlRoundTrips(t *testing.T) {
	chunk := []byte("services:\n")
	hash := anvilrevision.HashChunk(chunk)
	manifest := anvilrevision.Manifest{
		Revision: anvilrevision.Revision{
			Version: 9,
			Digest:  [32]byte{1, 2},
		},
		Documents: []anvilrevision.DocumentManifest{{
			Name:   "base.yaml",
			Chunks: []anvilrevision.ChunkHash{hash},
		}},
	}
	states := []anvilmodel.LeafState{{
		Leaf:        "leaf-1",
		Incarnation: 4,
		Cold:        true,
		Draining:    true,
		Load:        0.5,
		Holdings:    []anvilmodel.Holding{{Snapshot: 7, Shard: 1, ShardCount: 2}},
		Observed:    true,
		Age:         3 * time.Millisecond,
	}}
	ticket := anvilmodel.Ticket{
		Incarnation: 5,
		Epoch:       2,
		ID:          strings.Repeat("0a", 16),
	}
	outcome := anvilpeer.TicketOutcome{
		State:  "run",
		Answer: []byte("{}"),
	}
	p := (&testPeer{}).start(t, anvilpeer.Handlers{
		Probe: func(context.Context, anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool) {
			return anvilmember.ProbeReply{}, false
		},
		Manifest: func(uint64) anvilrevision.Manifest { return manifest },
		Chunk: func(h anvilrevision.ChunkHash) []byte {
			if h == hash {
				return chunk
			}
			return nil
		},
		Outcome: func(got anvilmodel.Ticket) anvilpeer.TicketOutcome {
			if got != ticket {
				t.Errorf("ticket %v, want %v", got, ticket)
			}
			return outcome
		},
		LeafStates: func(after uint64) ([]anvilmodel.LeafState, uint64) { return states, after + 1 },
	})
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{})
	defer client.Close()
	ctx := t.Context()
	gotManifest, err := client.Manifest(ctx, p.address, manifest.Revision.Version)
	checkResult(t, "manifest", err, cmp.Diff(manifest, gotManifest))
	chunks, err := client.Chunks(ctx, p.address, 9, []anvilrevision.ChunkHash{{}, hash})
	checkResult(t, "chunks", err, cmp.Diff([][]byte{chunk}, chunks))
	gotOutcome, err := client.Outcome(ctx, p.address, ticket)
	checkResult(t, "outcome", err, cmp.Diff(outcome, gotOutcome))
	gotStates, version, err := client.LeafStates(ctx, p.address, 6)
	checkResult(t, "leaf states", err, cmp.Diff(states, gotStates))
	if version != 7 {
		t.Errorf("version %d, want 7", version)
	}
	if _, err := client.Probe(ctx, p.address, anvilmember.ProbeRequest{}); !isUnreachable(err) {
		t.Errorf("refused probe: %v", err)
	}
	p.stop()
	if _, err := client.Probe(ctx, p.address, anvilmember.ProbeRequest{}); !isUnreachable(err) {
		t.Errorf("probe of a stopped server: %v", err)
	}
}
