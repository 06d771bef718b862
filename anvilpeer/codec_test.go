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

// Absent and empty lists are the same on the wire, and addresses are compared by
// their text.
var sameOnWire = cmp.Options{
	cmpopts.EquateEmpty(),
	cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
}

var names = rapid.StringMatching(`[a-z][a-z0-9-]{0,12}`)

func drawIncarnation(t *rapid.T) anvilmodel.Incarnation {
	return anvilmodel.Incarnation(rapid.Uint64().Draw(t, "incarnation"))
}

func drawDuration(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(time.Hour/time.Microsecond)).Draw(t, "micros")) * time.Microsecond
}

func drawHolding(t *rapid.T) anvilmodel.Holding {
	return anvilmodel.Holding{
		Snapshot: anvilmodel.Snapshot(rapid.Uint64().Draw(t, "snapshot")),
		Shard:    anvilmodel.Shard(rapid.IntRange(0, 2047).Draw(t, "shard")),
		Shards:   rapid.IntRange(0, 2048).Draw(t, "shards"),
	}
}

func drawTicket(t *rapid.T) anvilmodel.Ticket {
	if rapid.Bool().Draw(t, "no ticket") {
		return anvilmodel.Ticket{}
	}
	return anvilmodel.Ticket{
		Incarnation: drawIncarnation(t),
		Epoch:       rapid.Uint32().Draw(t, "epoch"),
		ID:          rapid.StringMatching(`[0-9a-f]{32}`).Draw(t, "id"),
	}
}

func drawCall(t *rapid.T, number int) anvilmodel.Call {
	h := drawHolding(t)
	return anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: anvilmodel.RequestID(names.Draw(t, "request")),
			Origin:  drawIncarnation(t),
			Attempt: number,
		},
		Leaf:          anvilmodel.LeafName(names.Draw(t, "leaf")),
		Service:       anvilmodel.ServiceName(names.Draw(t, "service")),
		Class:         anvilmodel.ClassName(names.Draw(t, "class")),
		Priority:      rapid.IntRange(0, 100).Draw(t, "priority"),
		Snapshot:      h.Snapshot,
		Shard:         h.Shard,
		Timeout:       time.Hour,
		Hedge:         rapid.Bool().Draw(t, "hedge"),
		Retry:         rapid.Bool().Draw(t, "retry"),
		NonIdempotent: rapid.Bool().Draw(t, "non-idempotent"),
		Ticket:        drawTicket(t),
		Body:          rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
	}
}

func drawReply(t *rapid.T, id anvilmodel.CallID) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:          id,
		Leaf:        anvilmodel.LeafName(names.Draw(t, "leaf")),
		Result:      anvilmodel.CallResult(rapid.IntRange(1, 7).Draw(t, "result")),
		Ran:         anvilmodel.RunState(rapid.IntRange(0, 2).Draw(t, "ran")),
		Incarnation: drawIncarnation(t),
		Holding:     drawHolding(t),
		Load:        rapid.Float64Range(0, 2).Draw(t, "load"),
		Cold:        rapid.Bool().Draw(t, "cold"),
		Draining:    rapid.Bool().Draw(t, "draining"),
		RetryAfter:  drawDuration(t),
		Body:        rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
	}
}

// TestRelayRoundTrip guards against a field of a call or a reply that is lost or
// changed on its way between nodes.
func TestRelayRoundTrip(t *testing.T) {
	next := make(chan anvilmodel.CallReply, 1)
	p := (&peer{
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
		submitted, _ := p.seen()
		got := submitted[count-1]
		// The time on the way is taken off.
		if got.Timeout <= 0 || got.Timeout > call.Timeout {
			r.Fatalf("timeout %s", got.Timeout)
		}
		got.Timeout = call.Timeout
		if diff := cmp.Diff(call, got, sameOnWire); diff != "" {
			r.Fatal(diff)
		}
	})
}

func drawItem(t *rapid.T) anvilmember.Item {
	address := func(label string) netip.AddrPort {
		if rapid.Bool().Draw(t, "no "+label) {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), rapid.Uint16().Draw(t, label))
	}
	i := anvilmember.Item{
		Member: anvilmodel.Member{
			Name:          anvilmodel.VMName(names.Draw(t, "name")),
			Slot:          anvilmodel.SlotName(names.Draw(t, "slot")),
			FailureDomain: anvilmodel.FailureDomain(names.Draw(t, "domain")),
			CallerAddress: address("caller"),
			PeerAddress:   address("peer"),
			Incarnation:   drawIncarnation(t),
			Status:        anvilmodel.MemberStatus(rapid.IntRange(0, 4).Draw(t, "status")),
			Serving:       rapid.Bool().Draw(t, "serving"),
			Load:          rapid.Float64Range(0, 2).Draw(t, "load"),
			Revision:      rapid.Uint64().Draw(t, "revision"),
			TicketEpoch:   rapid.Uint32().Draw(t, "epoch"),
			Counter:       rapid.Uint32().Draw(t, "counter"),
		},
		Version: rapid.Uint32().Draw(t, "version"),
	}
	for _, w := range rapid.SliceOfN(names, 0, 3).Draw(t, "witnesses") {
		i.Witnesses = append(i.Witnesses, anvilmodel.VMName(w))
	}
	return i
}

// TestProbeRoundTrip guards against news that changes on its way, and against a
// size that the message limit of the membership counts wrongly.
func TestProbeRoundTrip(t *testing.T) {
	var got anvilmember.ProbeRequest
	var answer anvilmember.ProbeReply
	p := (&peer{}).start(t, probeHandlers(func(q anvilmember.ProbeRequest) anvilmember.ProbeReply {
		got = q
		return answer
	}))
	var sent int
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		Sent: func(_ string, bytes int) { sent = bytes },
	})
	defer client.Close()
	rapid.Check(t, func(r *rapid.T) {
		items := func() []anvilmember.Item {
			var items []anvilmember.Item
			for range rapid.IntRange(0, 3).Draw(r, "items") {
				items = append(items, drawItem(r))
			}
			return items
		}
		q := anvilmember.ProbeRequest{
			From:   drawItem(r),
			Target: anvilmodel.VMName(names.Draw(r, "target")),
			News:   items(),
		}
		answer = anvilmember.ProbeReply{
			From:    drawItem(r),
			Reached: rapid.Bool().Draw(r, "reached"),
			News:    items(),
		}
		reply, err := client.Probe(t.Context(), p.address, q)
		if err != nil {
			r.Fatal(err)
		}
		if diff := cmp.Diff(q, got, sameOnWire); diff != "" {
			r.Fatal(diff)
		}
		if diff := cmp.Diff(answer, reply, sameOnWire); diff != "" {
			r.Fatal(diff)
		}
		if size := anvilmember.RequestSize(q); sent > size {
			r.Fatalf("a request of %d bytes counts as %d", sent, size)
		}
	})
}

// TestControlRoundTrips guards against fields of the other messages that are lost
// on their way, and against errors that are not those that the client states.
func TestControlRoundTrips(t *testing.T) {
	chunk := []byte("services:\n")
	hash := anvilrevision.HashOf(chunk)
	manifest := anvilrevision.Manifest{
		Revision: anvilrevision.Revision{
			Version: 9,
			Digest:  [32]byte{1, 2},
		},
		Documents: []anvilrevision.DocumentManifest{{
			Name:   "base.yaml",
			Chunks: []anvilrevision.Hash{hash},
		}},
	}
	states := []anvilmodel.LeafState{{
		Leaf:        "leaf-1",
		Incarnation: 4,
		Cold:        true,
		Draining:    true,
		Load:        0.5,
		Holdings:    []anvilmodel.Holding{{Snapshot: 7, Shard: 1, Shards: 2}},
		Judged:      true,
		Age:         3 * time.Millisecond,
	}}
	ticket := anvilmodel.Ticket{
		Incarnation: 5,
		Epoch:       2,
		ID:          strings.Repeat("0a", 16),
	}
	outcome := anvilpeer.Outcome{
		State:  "run",
		Answer: []byte("{}"),
	}
	p := (&peer{}).start(t, anvilpeer.Handlers{
		Probe: func(context.Context, anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool) {
			return anvilmember.ProbeReply{}, false
		},
		Manifest: func() anvilrevision.Manifest { return manifest },
		Chunk: func(h anvilrevision.Hash) []byte {
			if h == hash {
				return chunk
			}
			return nil
		},
		Outcome: func(got anvilmodel.Ticket) anvilpeer.Outcome {
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
	gotManifest, err := client.Manifest(ctx, p.address)
	check(t, "manifest", err, cmp.Diff(manifest, gotManifest))
	chunks, err := client.Chunks(ctx, p.address, 9, []anvilrevision.Hash{{}, hash})
	check(t, "chunks", err, cmp.Diff([][]byte{chunk}, chunks))
	gotOutcome, err := client.Outcome(ctx, p.address, ticket)
	check(t, "outcome", err, cmp.Diff(outcome, gotOutcome))
	gotStates, version, err := client.LeafStates(ctx, p.address, 6)
	check(t, "leaf states", err, cmp.Diff(states, gotStates))
	if version != 7 {
		t.Errorf("version %d, want 7", version)
	}
	if _, err := client.Probe(ctx, p.address, anvilmember.ProbeRequest{}); !isUnreachable(err) {
		t.Errorf("refused probe: %v", err)
	}
	p.stop()
	if _, err := client.Probe(ctx, p.address, anvilmember.ProbeRequest{}); !isUnreachable(err) {
		t.Errorf("probe of a node that is gone: %v", err)
	}
}
