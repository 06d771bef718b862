package anvilstandin

import (
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// work is one call that the leaf has accepted.
type work struct {
	call    anvilwire.LeafCall
	holding anvilmodel.Holding
	body    []byte
	// started is closed when the call gets a slot.
	started   chan struct{}
	running   bool
	cancelled chan struct{}
	// timeout is how long the leaf may take in all.
	timeout time.Duration
	// service is how long the call runs, set when it starts.
	service time.Duration
}

func (u *Upstream) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	call, err := anvilwire.DecodeCallHeader(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := u.serve(r, call, body)
	u.send(w, r, reply)
}

// serve runs one call to its end.
func (u *Upstream) serve(r *http.Request, call anvilwire.LeafCall, body []byte) anvilmodel.CallReply {
	k, refusal := u.admit(call, body)
	if k == nil {
		return refusal
	}
	expiry := time.NewTimer(k.timeout)
	defer expiry.Stop()
	select {
	case <-k.started:
	case <-k.cancelled:
		return u.finish(k, anvilmodel.CallCancelled)
	case <-expiry.C:
		return u.finish(k, anvilmodel.CallTimeout)
	case <-r.Context().Done():
		return u.finish(k, anvilmodel.CallCancelled)
	}
	done := time.NewTimer(k.service)
	defer done.Stop()
	select {
	case <-done.C:
		return u.finish(k, anvilmodel.CallOK)
	case <-k.cancelled:
		return u.finish(k, anvilmodel.CallCancelled)
	case <-expiry.C:
		return u.finish(k, anvilmodel.CallTimeout)
	case <-r.Context().Done():
		return u.finish(k, anvilmodel.CallCancelled)
	}
}

// admit accepts a call, or returns the reply that refuses it.
func (u *Upstream) admit(call anvilwire.LeafCall, body []byte) (*work, anvilmodel.CallReply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countArrival()
	i := slices.IndexFunc(u.holdings, func(h anvilmodel.Holding) bool {
		return h.Snapshot == call.Snapshot && h.Shard == call.Shard
	})
	if i < 0 {
		u.stats.SnapshotGone++
		return nil, u.reply(call.ID, anvilmodel.CallSnapshotGone, anvilmodel.RunStateNotRun)
	}
	if _, known := u.works[call.ID]; known {
		return nil, u.reply(call.ID, anvilmodel.CallFailed, anvilmodel.RunStateUnknown)
	}
	if u.running >= u.config.Slots && len(u.queue) >= u.config.QueueLength {
		u.stats.Shed++
		return nil, u.reply(call.ID, anvilmodel.CallShed, anvilmodel.RunStateNotRun)
	}
	k := &work{
		call:      call,
		holding:   u.holdings[i],
		body:      body,
		timeout:   call.Timeout,
		started:   make(chan struct{}),
		cancelled: make(chan struct{}),
	}
	if u.faults.ignoreTimeouts {
		k.timeout = math.MaxInt64
	}
	u.works[call.ID] = k
	u.queue = append(u.queue, k)
	u.countInFlight()
	u.startNext()
	return k, anvilmodel.CallReply{}
}

func (u *Upstream) countArrival() {
	u.stats.Calls++
	if u.draining {
		u.stats.CallsWhileDraining++
	}
	if u.out {
		u.stats.CallsWhileOut++
	}
}

// countInFlight notes the peaks; too many calls at once make a cold leaf collapse.
func (u *Upstream) countInFlight() {
	n := len(u.works)
	u.stats.Peak = max(u.stats.Peak, n)
	if !u.cold {
		return
	}
	u.stats.ColdPeak = max(u.stats.ColdPeak, n)
	if n > u.config.ColdConcurrency {
		u.stats.ColdViolations++
		u.collapsed = true
	}
}

// startNext gives free slots to waiting calls.
func (u *Upstream) startNext() {
	for u.running < u.config.Slots && len(u.queue) > 0 {
		k := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		u.stats.Executed++
		if !k.call.Ticket.IsZero() {
			u.executions[Execution{
				Ticket:  k.call.Ticket,
				Request: k.call.ID.Request,
				Shard:   k.call.Shard,
			}]++
		}
		k.service = u.config.ServiceTime.Draw(u.config.Seed, u.config.Name, k.call.ID) + u.faults.slow
		if u.collapsed {
			k.service *= collapseFactor
		}
		k.running = true
		close(k.started)
	}
}

// finish frees the slot or the place in the queue, and returns the reply.
func (u *Upstream) finish(k *work, result anvilmodel.CallResult) anvilmodel.CallReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	ran := anvilmodel.RunStateNotRun
	if k.running {
		ran = anvilmodel.RunStateUnknown
		u.running--
	} else {
		u.queue = slices.DeleteFunc(u.queue, func(q *work) bool { return q == k })
	}
	delete(u.works, k.call.ID)
	if len(u.works) == 0 {
		u.collapsed = false
	}
	u.countEnd(result)
	u.startNext()
	if result != anvilmodel.CallOK {
		return u.reply(k.call.ID, result, ran)
	}
	reply := u.reply(k.call.ID, result, anvilmodel.RunStateRun)
	reply.Holding = k.holding
	reply.Body = ExpectedPart(u.config.Service, k.holding.Snapshot, k.holding.Shard, k.body)
	return reply
}

func (u *Upstream) countEnd(result anvilmodel.CallResult) {
	switch result {
	case anvilmodel.CallCancelled:
		u.stats.Cancelled++
	case anvilmodel.CallTimeout:
		u.stats.Expired++
	case anvilmodel.CallOK:
		u.stats.Completed++
		u.warmed++
		if u.config.WarmAfter > 0 && u.warmed >= u.config.WarmAfter {
			u.cold = false
		}
	}
}

// reply returns a reply with what the leaf says of itself.
func (u *Upstream) reply(id anvilmodel.CallID, result anvilmodel.CallResult, ran anvilmodel.RunState) anvilmodel.CallReply {
	state := u.state()
	if c := u.faults.claim; c != nil {
		state.Cold, state.Draining, state.Load = c.Cold, c.Draining, c.Load
	}
	return anvilmodel.CallReply{
		ID:          id,
		Leaf:        u.config.Name,
		Result:      result,
		RunState:    ran,
		Incarnation: state.Incarnation,
		Load:        state.Load,
		Cold:        state.Cold,
		Draining:    state.Draining,
	}
}

// send writes the reply, with the faults that are due.
func (u *Upstream) send(w http.ResponseWriter, r *http.Request, reply anvilmodel.CallReply) {
	u.mu.Lock()
	delay := u.faults.replyDelay
	body := reply.Body
	if reply.Result == anvilmodel.CallOK {
		reply, body = u.distort(reply)
	}
	u.mu.Unlock()
	if body == nil && reply.Result == anvilmodel.CallOK {
		panic(http.ErrAbortHandler)
	}
	if !pause(r.Context(), delay) {
		return
	}
	anvilwire.SetLeafReplyHeader(w.Header(), &reply)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(anvilwire.LeafReplyStatus(reply.Result))
	// An error means that the caller has gone.
	_, _ = w.Write(body)
}

// distort returns the reply and the body to send; a nil body breaks the
// connection instead.
func (u *Upstream) distort(reply anvilmodel.CallReply) (anvilmodel.CallReply, []byte) {
	honest := reply
	if u.takeFault(CrossReply) {
		reply = u.crossed(reply)
	}
	u.previous = honest
	body := reply.Body
	switch {
	case u.takeFault(TruncateReply):
		body = body[:len(body)/2]
	case u.takeFault(CorruptReply):
		body = slices.Clone(body)
		body[len(body)/2] ^= 1
	case u.takeFault(BreakReply):
		body = nil
	}
	return reply, body
}

// crossed returns the reply before this one, or one to a call of nobody.
func (u *Upstream) crossed(reply anvilmodel.CallReply) anvilmodel.CallReply {
	if u.previous.ID.Request != "" {
		return u.previous
	}
	reply.ID.Request += "-crossed"
	return reply
}

// handleCancel ends a call, which then answers 499 on its own connection.
func (u *Upstream) handleCancel(w http.ResponseWriter, r *http.Request) {
	id, err := anvilwire.ParseCallID(r.PathValue("request"), r.PathValue("attempt"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	k := u.works[id]
	if k == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	select {
	case <-k.cancelled:
	default:
		close(k.cancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}
