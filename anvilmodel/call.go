package anvilmodel

import "time"

// CallID identifies one call to one leaf: the request and the attempt number,
// which is unique within the request at its origin.
type CallID struct {
	Request RequestID
	// Origin is the incarnation of the node that received the request, so that
	// equal request ids at two nodes do not cross.
	Origin  Incarnation
	Attempt int
}

// Call is one call to one leaf.
type Call struct {
	ID       CallID
	Leaf     LeafName
	Service  ServiceName
	Class    ClassName
	Priority int
	Snapshot Snapshot
	Shard    Shard
	// Timeout is the time left for the call when it was handed over.
	Timeout       time.Duration
	Hedge         bool
	Retry         bool
	NonIdempotent bool
	Ticket        Ticket
	Body          []byte
}

// CallResult classifies how a call ended.
type CallResult int

// Call results.
const (
	// CallOK carries the leaf's reply.
	CallOK CallResult = iota + 1
	// CallShed means that the leaf or its dispatcher refused it without running it.
	CallShed
	// CallTimeout means that no reply came in time.
	CallTimeout
	// CallBroken means that the connection or the dispatching node failed.
	CallBroken
	// CallSnapshotGone means that the leaf no longer holds the snapshot.
	CallSnapshotGone
	// CallCancelled means that the call was cancelled by its origin.
	CallCancelled
	// CallFailed means that the leaf ran the call and reported an error.
	CallFailed
)

// String returns the name used in logs and metrics.
func (r CallResult) String() string {
	switch r {
	case CallOK:
		return "ok"
	case CallShed:
		return "shed"
	case CallTimeout:
		return "timeout"
	case CallBroken:
		return "broken"
	case CallSnapshotGone:
		return "snapshot-gone"
	case CallCancelled:
		return "cancelled"
	case CallFailed:
		return "failed"
	default:
		return "unknown"
	}
}

// CallReply is the outcome of a call.
type CallReply struct {
	ID     CallID
	Leaf   LeafName
	Result CallResult
	// RunState says whether the leaf ran the call; NotRun is only said when certain.
	RunState RunState
	// Incarnation is the leaf's, zero if no reply came.
	Incarnation Incarnation
	// Holding is what the leaf says it answered from.
	Holding  Holding
	Load     float64
	Cold     bool
	Draining bool
	// RetryAfter is when a shedding leaf may be tried again; zero if not stated.
	RetryAfter time.Duration
	Body       []byte
}
