package anvilwire

import (
	"net/http"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
)

// StatusCancelled is the non-standard HTTP status of a cancelled call.
const StatusCancelled = 499

// LeafReplyStatus returns the HTTP status with which a leaf reports the result
// of a call.
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

// SetLeafReplyHeader encodes everything but the body of a leaf's reply in
// headers, together with the length and checksum of the body.
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

// DecodeLeafReply decodes and verifies a leaf's reply to a call. It returns
// Crossed, Truncated, Corrupt or Malformed; after any of them the connection
// must not be reused. The run state is that of the header Anvil-Ran and unknown
// without it, except that a successful call has always run.
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
	reply.RunState = ParseRunState(firstValue(h, HeaderRan))
	reply.Result = resultForStatus(status, reply.RunState)
	if reply.Result == anvilmodel.CallOK {
		reply.RunState = anvilmodel.RunStateRun
	}
	if err := decodeLeafStateHeaders(h, &reply); err != nil {
		return reply, err
	}
	return reply, decodeHolding(h, &reply)
}

func verifyCallID(h http.Header, id anvilmodel.CallID) error {
	got, err := ParseCallID(firstValue(h, HeaderRequestID), firstValue(h, HeaderAttempt))
	if err != nil {
		return err
	}
	if got != id {
		return Crossed.New("reply belongs to request %s of origin %d, attempt %d; want request %s of origin %d, attempt %d",
			got.Request, got.Origin, got.Attempt, id.Request, id.Origin, id.Attempt)
	}
	return nil
}

func resultForStatus(status int, runState anvilmodel.RunState) anvilmodel.CallResult {
	switch {
	case status == http.StatusOK:
		return anvilmodel.CallOK
	case status == http.StatusServiceUnavailable && runState == anvilmodel.RunStateNotRun:
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

func decodeLeafStateHeaders(h http.Header, reply *anvilmodel.CallReply) error {
	incarnation, err := parseHeaderUint(h, HeaderIncarnation, 64, true)
	if err != nil {
		return err
	}
	if incarnation == 0 {
		return Malformed.New("decode header %s: incarnation must not be 0", HeaderIncarnation)
	}
	reply.Incarnation = anvilmodel.Incarnation(incarnation)
	if reply.Cold, err = parseHeaderBool(h, HeaderCold); err != nil {
		return err
	}
	if reply.Draining, err = parseHeaderBool(h, HeaderDraining); err != nil {
		return err
	}
	if reply.Load, err = parseHeaderLoad(h); err != nil {
		return err
	}
	seconds, err := parseHeaderUint(h, HeaderRetryAfter, 31, false)
	reply.RetryAfter = time.Duration(seconds) * time.Second
	return err
}

// parseHeaderLoad parses the reported load; NaN and negative values give a
// Malformed error.
func parseHeaderLoad(h http.Header) (float64, error) {
	text := firstValue(h, HeaderLoad)
	if text == "" {
		return 0, nil
	}
	load, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, Malformed.Wrap(err, "decode header %s", HeaderLoad)
	}
	if !(load >= 0) {
		return 0, Malformed.New("decode header %s: got %q, want a non-negative number", HeaderLoad, text)
	}
	return load, nil
}

// decodeHolding parses the snapshot and shard that the leaf answered from. They
// are required in the reply to a successful call.
func decodeHolding(h http.Header, reply *anvilmodel.CallReply) error {
	required := reply.Result == anvilmodel.CallOK
	snapshot, err := parseHeaderUint(h, HeaderSnapshot, 64, required)
	if err != nil {
		return err
	}
	shard, err := parseHeaderUint(h, HeaderShard, 31, required)
	if err != nil {
		return err
	}
	shards, err := parseHeaderUint(h, HeaderShards, 31, required)
	if err != nil {
		return err
	}
	if required && shard >= shards {
		return Malformed.New("decode holding: shard %d is not below the shard count %d", shard, shards)
	}
	reply.Holding = anvilmodel.Holding{
		Snapshot:   anvilmodel.Snapshot(snapshot),
		Shard:      anvilmodel.Shard(shard),
		ShardCount: int(shards),
	}
	return nil
}
