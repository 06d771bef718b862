package anvilwire

import (
	"net/http"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
)

// StatusCancelled is the HTTP status of a cancelled call.
const StatusCancelled = 499

// LeafReplyStatus returns the HTTP status with which a leaf reports a result.
func LeafReplyStatus(result anvilmodel.CallResult) int {
	switch result {
	case anvilmodel.CallOK:
		return http.StatusOK
	case anvilmodel.CallShed:
		return http.StatusServiceUnavailable
	case anvilmodel.CallSnapshotGone:
		return http.StatusGone
	case anvilmodel.CallCancelled:
		return StatusCancelled
	case anvilmodel.CallTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}

// SetLeafReplyHeader states a leaf's reply in the headers.
func SetLeafReplyHeader(h http.Header, r *anvilmodel.CallReply) {
	h[HeaderRequestID] = []string{LeafRequestID(r.ID)}
	h[HeaderAttempt] = []string{strconv.Itoa(r.ID.Attempt)}
	h[HeaderIncarnation] = []string{strconv.FormatUint(uint64(r.Incarnation), 10)}
	h[HeaderLoad] = []string{strconv.FormatFloat(r.Load, 'g', -1, 64)}
	h[HeaderCold] = []string{strconv.FormatBool(r.Cold)}
	h[HeaderDraining] = []string{strconv.FormatBool(r.Draining)}
	h[HeaderRan] = []string{r.RunState.String()}
	if r.Holding.ShardCount > 0 {
		h[HeaderSnapshot] = []string{strconv.FormatUint(uint64(r.Holding.Snapshot), 10)}
		h[HeaderShard] = []string{strconv.Itoa(int(r.Holding.Shard))}
		h[HeaderShards] = []string{strconv.Itoa(r.Holding.ShardCount)}
	}
	setRetryAfter(h, r.RetryAfter)
	SetIntegrity(h, r.Body)
}

// DecodeLeafReply reads a leaf's reply to a call. It returns Crossed, Truncated,
// Corrupt or Malformed; the connection cannot be trusted after any of them.
// A run state comes from the header Anvil-Ran and is unknown without it.
func DecodeLeafReply(id anvilmodel.CallID, status int, h http.Header, body []byte) (anvilmodel.CallReply, error) {
	reply := anvilmodel.CallReply{
		ID:   id,
		Body: body,
	}
	if err := verifyCallID(h, id); err != nil {
		return reply, err
	}
	if err := VerifyIntegrity(h, body); err != nil {
		return reply, err
	}
	reply.RunState = ParseRunState(first(h, HeaderRan))
	reply.Result = replyResult(status, reply.RunState)
	if reply.Result == anvilmodel.CallOK {
		reply.RunState = anvilmodel.RunStateRun
	}
	if err := decodeReplyState(h, &reply); err != nil {
		return reply, err
	}
	return reply, decodeHolding(h, &reply)
}

func verifyCallID(h http.Header, id anvilmodel.CallID) error {
	got, err := ParseCallID(first(h, HeaderRequestID), first(h, HeaderAttempt))
	if err != nil {
		return err
	}
	if got != id {
		return Crossed.New("the reply is for request %s of origin %d, attempt %d, instead of %s, %d, %d",
			got.Request, got.Origin, got.Attempt, id.Request, id.Origin, id.Attempt)
	}
	return nil
}

func replyResult(status int, ran anvilmodel.RunState) anvilmodel.CallResult {
	switch {
	case status == http.StatusOK:
		return anvilmodel.CallOK
	case status == http.StatusServiceUnavailable && ran == anvilmodel.RunStateNotRun:
		return anvilmodel.CallShed
	case status == http.StatusGone:
		return anvilmodel.CallSnapshotGone
	case status == StatusCancelled:
		return anvilmodel.CallCancelled
	case status == http.StatusGatewayTimeout:
		return anvilmodel.CallTimeout
	default:
		return anvilmodel.CallFailed
	}
}

func decodeReplyState(h http.Header, reply *anvilmodel.CallReply) error {
	incarnation, err := headerUint(h, HeaderIncarnation, 64, true)
	if err != nil {
		return err
	}
	if incarnation == 0 {
		return Malformed.New("decode header %s: 0 is not an incarnation", HeaderIncarnation)
	}
	reply.Incarnation = anvilmodel.Incarnation(incarnation)
	if reply.Cold, err = headerBool(h, HeaderCold); err != nil {
		return err
	}
	if reply.Draining, err = headerBool(h, HeaderDraining); err != nil {
		return err
	}
	if reply.Load, err = headerLoad(h); err != nil {
		return err
	}
	seconds, err := headerUint(h, HeaderRetryAfter, 31, false)
	reply.RetryAfter = time.Duration(seconds) * time.Second
	return err
}

// headerLoad reads the reported load; NaN and negative values are malformed.
func headerLoad(h http.Header) (float64, error) {
	text := first(h, HeaderLoad)
	if text == "" {
		return 0, nil
	}
	load, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, Malformed.Wrap(err, "decode header %s", HeaderLoad)
	}
	if !(load >= 0) {
		return 0, Malformed.New("decode header %s: %q is not a load", HeaderLoad, text)
	}
	return load, nil
}

// decodeHolding reads what the leaf answered from; a good reply must say it.
func decodeHolding(h http.Header, reply *anvilmodel.CallReply) error {
	required := reply.Result == anvilmodel.CallOK
	snapshot, err := headerUint(h, HeaderSnapshot, 64, required)
	if err != nil {
		return err
	}
	shard, err := headerUint(h, HeaderShard, 31, required)
	if err != nil {
		return err
	}
	shards, err := headerUint(h, HeaderShards, 31, required)
	if err != nil {
		return err
	}
	if required && shard >= shards {
		return Malformed.New("decode holding: shard %d of %d", shard, shards)
	}
	reply.Holding = anvilmodel.Holding{
		Snapshot:   anvilmodel.Snapshot(snapshot),
		Shard:      anvilmodel.Shard(shard),
		ShardCount: int(shards),
	}
	return nil
}
