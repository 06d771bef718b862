package anvilcapacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

const (
	// callBody and replyBody are the sizes of bodies where another size varies.
	callBody  = 256
	replyBody = 1024
	// relayTimeout is sent with each call. Its encoding has three bytes whatever
	// a call waits up to a second.
	relayTimeout = 1200 * time.Millisecond
)

// designCall returns a call as a query at the design size makes it.
func designCall(attempt, body int) anvilmodel.Call {
	return anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "0123456789abcdef",
			Origin:  1_700_000_000_001,
			Attempt: 1<<30 + attempt,
		},
		Leaf:     anvilmodel.LeafName(fmt.Sprintf("service-00-%03d-a", attempt%serviceShards)),
		Service:  serviceName(0),
		Class:    "buyers",
		Priority: 20,
		Snapshot: 20_250_611,
		Shard:    anvilmodel.Shard(attempt % serviceShards),
		Timeout:  relayTimeout,
		Body:     make([]byte, body),
	}
}

func designReply(c anvilmodel.Call, body []byte) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:          c.ID,
		Leaf:        c.Leaf,
		Result:      anvilmodel.CallOK,
		Ran:         anvilmodel.RunStateRun,
		Incarnation: 1_700_000_000_000,
		Holding: anvilmodel.Holding{
			Snapshot: c.Snapshot,
			Shard:    c.Shard,
			Shards:   serviceShards,
		},
		Load: 1.0 / 3,
		Body: body,
	}
}

// measureEncoding measures protobuf alone: a batch of calls and its replies are
// encoded and decoded once each.
func measureEncoding() Slope {
	sizes := []int{1, 4, 16, 64}
	s := Slope{
		Name:     "relay-encoding-cpu",
		What:     "protobuf of calls and replies, encoded and decoded once, bodies of 256 bytes and 1 KB",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "calls in the batch",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What: "calls relayed and taken in a second",
			Size: nodeCalls,
			Rate: true,
			Unit: "cores",
		}},
	}
	for _, n := range sizes {
		calls, replies := designMessages(n)
		rounds := 10_000 / n
		s.Values = append(s.Values, leastCPU(func() {
			for range rounds {
				recode(calls, &anvilproto.RelayBatch{})
				recode(replies, &anvilproto.RelayReplies{})
			}
		})/float64(rounds))
	}
	return s
}

// recode encodes a message and decodes it into another.
func recode(from, to proto.Message) {
	// What was just encoded can be decoded.
	encoded, _ := proto.Marshal(from)
	_ = proto.Unmarshal(encoded, to)
}

// designMessages returns a batch and its replies as anvilpeer/codec.go maps them.
func designMessages(count int) (*anvilproto.RelayBatch, *anvilproto.RelayReplies) {
	calls := &anvilproto.RelayBatch{
		Dispatcher: uint64(peerIncarnation),
	}
	replies := &anvilproto.RelayReplies{}
	body := make([]byte, replyBody)
	for i := range count {
		c := designCall(i, callBody)
		r := designReply(c, body)
		id := &anvilproto.CallID{
			Request: string(c.ID.Request),
			Origin:  uint64(c.ID.Origin),
			Attempt: int32(c.ID.Attempt),
		}
		calls.Calls = append(calls.Calls, &anvilproto.LeafCall{
			Id:            id,
			Leaf:          string(c.Leaf),
			Service:       string(c.Service),
			Class:         string(c.Class),
			Priority:      int32(c.Priority),
			Snapshot:      uint64(c.Snapshot),
			Shard:         int32(c.Shard),
			TimeoutMicros: c.Timeout.Microseconds(),
			Body:          c.Body,
		})
		replies.Replies = append(replies.Replies, &anvilproto.LeafReply{
			Id:          id,
			Leaf:        string(r.Leaf),
			Result:      int32(r.Result),
			Ran:         int32(r.Ran),
			Incarnation: uint64(r.Incarnation),
			Holding: &anvilproto.Holding{
				Snapshot: uint64(r.Holding.Snapshot),
				Shard:    int32(r.Holding.Shard),
				Shards:   int32(r.Holding.Shards),
			},
			Load: r.Load,
			Body: r.Body,
		})
	}
	return calls, replies
}
