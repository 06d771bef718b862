package anvilpeer

import (
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
)

func encodeCallID(id anvilmodel.CallID) *anvilproto.CallID {
	return &anvilproto.CallID{
		Request: string(id.Request),
		Origin:  uint64(id.Origin),
		Attempt: int32(id.Attempt),
	}
}

func decodeCallID(id *anvilproto.CallID) anvilmodel.CallID {
	return anvilmodel.CallID{
		Request: anvilmodel.RequestID(id.GetRequest()),
		Origin:  anvilmodel.Incarnation(id.GetOrigin()),
		Attempt: int(id.GetAttempt()),
	}
}

func encodeTicket(t anvilmodel.Ticket) *anvilproto.Ticket {
	if t.IsZero() {
		return nil
	}
	return &anvilproto.Ticket{
		Incarnation: uint64(t.Incarnation),
		Epoch:       t.Epoch,
		Id:          t.ID,
	}
}

func decodeTicket(t *anvilproto.Ticket) anvilmodel.Ticket {
	return anvilmodel.Ticket{
		Incarnation: anvilmodel.Incarnation(t.GetIncarnation()),
		Epoch:       t.GetEpoch(),
		ID:          t.GetId(),
	}
}

func encodeCall(c anvilmodel.Call) *anvilproto.LeafCall {
	return &anvilproto.LeafCall{
		Id:            encodeCallID(c.ID),
		Leaf:          string(c.Leaf),
		Service:       string(c.Service),
		Class:         string(c.Class),
		Priority:      int32(c.Priority),
		Snapshot:      uint64(c.Snapshot),
		Shard:         int32(c.Shard),
		TimeoutMicros: c.Timeout.Microseconds(),
		Hedge:         c.Hedge,
		Retry:         c.Retry,
		NonIdempotent: c.NonIdempotent,
		Ticket:        encodeTicket(c.Ticket),
		Body:          c.Body,
	}
}

func decodeCall(c *anvilproto.LeafCall) anvilmodel.Call {
	return anvilmodel.Call{
		ID:            decodeCallID(c.GetId()),
		Leaf:          anvilmodel.LeafName(c.GetLeaf()),
		Service:       anvilmodel.ServiceName(c.GetService()),
		Class:         anvilmodel.ClassName(c.GetClass()),
		Priority:      int(c.GetPriority()),
		Snapshot:      anvilmodel.Snapshot(c.GetSnapshot()),
		Shard:         anvilmodel.Shard(c.GetShard()),
		Timeout:       time.Duration(c.GetTimeoutMicros()) * time.Microsecond,
		Hedge:         c.GetHedge(),
		Retry:         c.GetRetry(),
		NonIdempotent: c.GetNonIdempotent(),
		Ticket:        decodeTicket(c.GetTicket()),
		Body:          c.GetBody(),
	}
}

func encodeHolding(h anvilmodel.Holding) *anvilproto.Holding {
	return &anvilproto.Holding{
		Snapshot: uint64(h.Snapshot),
		Shard:    int32(h.Shard),
		Shards:   int32(h.ShardCount),
	}
}

func decodeHolding(h *anvilproto.Holding) anvilmodel.Holding {
	return anvilmodel.Holding{
		Snapshot:   anvilmodel.Snapshot(h.GetSnapshot()),
		Shard:      anvilmodel.Shard(h.GetShard()),
		ShardCount: int(h.GetShards()),
	}
}

func encodeReply(r *anvilmodel.CallReply) *anvilproto.LeafReply {
	return &anvilproto.LeafReply{
		Id:               encodeCallID(r.ID),
		Leaf:             string(r.Leaf),
		Result:           int32(r.Result),
		Ran:              int32(r.RunState),
		Incarnation:      uint64(r.Incarnation),
		Holding:          encodeHolding(r.Holding),
		Load:             r.Load,
		Cold:             r.Cold,
		Draining:         r.Draining,
		RetryAfterMicros: r.RetryAfter.Microseconds(),
		Body:             r.Body,
	}
}

func decodeReply(r *anvilproto.LeafReply) anvilmodel.CallReply {
	return anvilmodel.CallReply{
		ID:          decodeCallID(r.GetId()),
		Leaf:        anvilmodel.LeafName(r.GetLeaf()),
		Result:      anvilmodel.CallResult(r.GetResult()),
		RunState:    anvilmodel.RunState(r.GetRan()),
		Incarnation: anvilmodel.Incarnation(r.GetIncarnation()),
		Holding:     decodeHolding(r.GetHolding()),
		Load:        r.GetLoad(),
		Cold:        r.GetCold(),
		Draining:    r.GetDraining(),
		RetryAfter:  time.Duration(r.GetRetryAfterMicros()) * time.Microsecond,
		Body:        r.GetBody(),
	}
}

func encodeLeafState(s anvilmodel.LeafState) *anvilproto.LeafState {
	holdings := make([]*anvilproto.Holding, 0, len(s.Holdings))
	for _, h := range s.Holdings {
		holdings = append(holdings, encodeHolding(h))
	}
	return &anvilproto.LeafState{
		Leaf:        string(s.Leaf),
		Incarnation: uint64(s.Incarnation),
		Cold:        s.Cold,
		Draining:    s.Draining,
		Load:        s.Load,
		Holdings:    holdings,
		AgeMicros:   s.Age.Microseconds(),
		Judged:      s.Observed,
	}
}

func decodeLeafState(s *anvilproto.LeafState) anvilmodel.LeafState {
	holdings := make([]anvilmodel.Holding, 0, len(s.GetHoldings()))
	for _, h := range s.GetHoldings() {
		holdings = append(holdings, decodeHolding(h))
	}
	return anvilmodel.LeafState{
		Leaf:        anvilmodel.LeafName(s.GetLeaf()),
		Incarnation: anvilmodel.Incarnation(s.GetIncarnation()),
		Cold:        s.GetCold(),
		Draining:    s.GetDraining(),
		Load:        s.GetLoad(),
		Holdings:    holdings,
		Age:         time.Duration(s.GetAgeMicros()) * time.Microsecond,
		Observed:    s.GetJudged(),
	}
}
