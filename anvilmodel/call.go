package anvilmodel

import "time"

// CallID identifies one call to one leaf.
type CallID struct {
	Request RequestID
	// Origin is the incarnation of the node that received the request. It keeps
	// calls apart if two nodes receive requests with the same id.
	Origin Incarnation
	// Attempt numbers the calls of a request and is unique among them.
	Attempt int
}

// Call is a request for one shard that is sent to one leaf.
type Call struct {
	ID       CallID
	Leaf     LeafName
	Service  ServiceName
	Class    ClassName
	Priority int
	Snapshot Snapshot
	Shard    Shard
	// Timeout is the time that was left when the call was passed on.
	Timeout time.Duration
	// Hedge marks a call that duplicates one whose reply is late.
	Hedge bool
	// Retry marks a call that repeats a failed one.
	Retry bool
	// NonIdempotent marks a call that may run at most once.
	NonIdempotent bool
	Ticket        Ticket
	Body          []byte
}

// CallResult classifies how a call ended.
type CallResult int

// Call results.
const (
	// CallOK means that the leaf replied with data.
	CallOK CallResult = iota + 1
	// CallShed means that the leaf or its dispatcher refused the call without
	// running it.
	CallShed
	// CallTimeout means that no reply came in time.
	CallTimeout
	// CallBroken means that the connection or the dispatching node failed, or that
	// the reply was malformed or belonged to another call.
	CallBroken
	// CallSnapshotGone means that the leaf no longer holds the snapshot.
	CallSnapshotGone
	// CallCancelled means that the node that received the request cancelled the call.
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
	// RunState states whether the leaf ran the call. It is RunStateNotRun only if
	// that is certain.
	RunState RunState
	// Incarnation is that of the leaf; 0 if no reply was received.
	Incarnation Incarnation
	// Holding is the shard and snapshot that the leaf reports to have answered from.
	Holding Holding
	// Load, Cold and Draining are as in LeafState.
	Load     float64
	Cold     bool
	Draining bool
	// RetryAfter is the time after which a leaf that shed the call may be called
	// again; 0 if not stated.
	RetryAfter time.Duration
	Body       []byte
}
