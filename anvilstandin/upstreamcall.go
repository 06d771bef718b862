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

// leafCall is a call that the leaf has accepted.
type leafCall struct {
	request anvilwire.LeafCall
	holding anvilmodel.Holding
	body    []byte
	// started is closed when the call gets a slot.
	started   chan struct{}
	running   bool
	cancelled chan struct{}
	// timeout limits the time in the queue and the service time together.
	timeout time.Duration
	// serviceTime is how long the call runs; it is set when the call gets a slot.
	serviceTime time.Duration
}

func (u *Upstream) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request, err := anvilwire.DecodeCallHeader(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := u.runCall(r, request, body)
	u.writeReply(w, r, reply)
}

// runCall queues and runs a call until it completes, times out or is cancelled.
func (u *Upstream) runCall(r *http.Request, request anvilwire.LeafCall, body []byte) anvilmodel.CallReply {
	call, refusal := u.admit(request, body)
	if call == nil {
		return refusal
	}
	expiry := time.NewTimer(call.timeout)
	defer expiry.Stop()
	select {
	case <-call.started:
	case <-call.cancelled:
		return u.finishCall(call, anvilmodel.CallCancelled)
	case <-expiry.C:
		return u.finishCall(call, anvilmodel.CallTimeout)
	case <-r.Context().Done():
		return u.finishCall(call, anvilmodel.CallCancelled)
	}
	completion := time.NewTimer(call.serviceTime)
	defer completion.Stop()
	select {
	case <-completion.C:
		return u.finishCall(call, anvilmodel.CallOK)
	case <-call.cancelled:
		return u.finishCall(call, anvilmodel.CallCancelled)
	case <-expiry.C:
		return u.finishCall(call, anvilmodel.CallTimeout)
	case <-r.Context().Done():
		return u.finishCall(call, anvilmodel.CallCancelled)
	}
}

// admit queues a call, or returns nil and the reply that refuses it.
func (u *Upstream) admit(request anvilwire.LeafCall, body []byte) (*leafCall, anvilmodel.CallReply) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.countArrival()
	holdingIndex := slices.IndexFunc(u.holdings, func(h anvilmodel.Holding) bool {
		return h.Snapshot == request.Snapshot && h.Shard == request.Shard
	})
	if holdingIndex < 0 {
		u.stats.SnapshotGone++
		return nil, u.newReply(request.ID, anvilmodel.CallSnapshotGone, anvilmodel.RunStateNotRun)
	}
	if _, duplicate := u.calls[request.ID]; duplicate {
		return nil, u.newReply(request.ID, anvilmodel.CallFailed, anvilmodel.RunStateUnknown)
	}
	if u.running >= u.config.Slots && len(u.queue) >= u.config.QueueLength {
		u.stats.Shed++
		return nil, u.newReply(request.ID, anvilmodel.CallShed, anvilmodel.RunStateNotRun)
	}
	call := &leafCall{
		request:   request,
		holding:   u.holdings[holdingIndex],
		body:      body,
		timeout:   request.Timeout,
		started:   make(chan struct{}),
		cancelled: make(chan struct{}),
	}
	if u.faults.ignoreTimeouts {
		call.timeout = math.MaxInt64
	}
	u.calls[request.ID] = call
	u.queue = append(u.queue, call)
	u.countInFlight()
	u.startNext()
	return call, anvilmodel.CallReply{}
}

func (u *Upstream) countArrival() {
	u.stats.Calls++
	if u.draining {
		u.stats.CallsWhileDraining++
	}
	if u.failureDomainOut {
		u.stats.CallsWhileOut++
	}
}

// countInFlight updates the maximum numbers of calls in flight. A cold leaf with
// more calls than it can handle becomes collapsed.
func (u *Upstream) countInFlight() {
	n := len(u.calls)
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

// startNext assigns free slots to queued calls.
func (u *Upstream) startNext() {
	for u.running < u.config.Slots && len(u.queue) > 0 {
		call := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		u.stats.Executed++
		if !call.request.Ticket.IsZero() {
			u.executions[Execution{
				Ticket:  call.request.Ticket,
				Request: call.request.ID.Request,
				Shard:   call.request.Shard,
			}]++
		}
		call.serviceTime = u.config.ServiceTime.Draw(u.config.Seed, u.config.Name, call.request.ID) + u.faults.serviceDelay
		if u.collapsed {
			call.serviceTime *= collapseFactor
		}
		call.running = true
		close(call.started)
	}
}

// finishCall releases the slot or the place in the queue of a call and returns the
// reply.
func (u *Upstream) finishCall(call *leafCall, result anvilmodel.CallResult) anvilmodel.CallReply {
	u.mu.Lock()
	defer u.mu.Unlock()
	runState := anvilmodel.RunStateNotRun
	if call.running {
		runState = anvilmodel.RunStateUnknown
		u.running--
	} else {
		u.queue = slices.DeleteFunc(u.queue, func(q *leafCall) bool { return q == call })
	}
	delete(u.calls, call.request.ID)
	if len(u.calls) == 0 {
		u.collapsed = false
	}
	u.countResult(result)
	u.startNext()
	if result != anvilmodel.CallOK {
		return u.newReply(call.request.ID, result, runState)
	}
	reply := u.newReply(call.request.ID, result, anvilmodel.RunStateRun)
	reply.Holding = call.holding
	reply.Body = ExpectedPart(u.config.Service, call.holding.Snapshot, call.holding.Shard, call.body)
	return reply
}

func (u *Upstream) countResult(result anvilmodel.CallResult) {
	switch result {
	case anvilmodel.CallCancelled:
		u.stats.Cancelled++
	case anvilmodel.CallTimeout:
		u.stats.Expired++
	case anvilmodel.CallOK:
		u.stats.Completed++
		u.completedSinceCold++
		if u.config.WarmAfter > 0 && u.completedSinceCold >= u.config.WarmAfter {
			u.cold = false
		}
	}
}

// newReply returns a reply with the state that the leaf reports.
func (u *Upstream) newReply(id anvilmodel.CallID, result anvilmodel.CallResult, runState anvilmodel.RunState) anvilmodel.CallReply {
	state := u.currentState()
	if falseState := u.faults.falseState; falseState != nil {
		state.Cold, state.Draining, state.Load = falseState.Cold, falseState.Draining, falseState.Load
	}
	return anvilmodel.CallReply{
		ID:          id,
		Leaf:        u.config.Name,
		Result:      result,
		RunState:    runState,
		Incarnation: state.Incarnation,
		Load:        state.Load,
		Cold:        state.Cold,
		Draining:    state.Draining,
	}
}

// writeReply writes the reply with the injected faults.
func (u *Upstream) writeReply(w http.ResponseWriter, r *http.Request, reply anvilmodel.CallReply) {
	u.mu.Lock()
	delay := u.faults.replyDelay
	body := reply.Body
	if reply.Result == anvilmodel.CallOK {
		reply, body = u.applyReplyFaults(reply)
	}
	u.mu.Unlock()
	if body == nil && reply.Result == anvilmodel.CallOK {
		panic(http.ErrAbortHandler)
	}
	if !sleep(r.Context(), delay) {
		return
	}
	anvilwire.SetLeafReplyHeader(w.Header(), &reply)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(anvilwire.LeafReplyStatus(reply.Result))
	// An error means that the client has closed the connection.
	_, _ = w.Write(body)
}

// applyReplyFaults returns the reply and the body to send. A nil body means that
// the connection is closed without a reply.
func (u *Upstream) applyReplyFaults(reply anvilmodel.CallReply) (anvilmodel.CallReply, []byte) {
	correct := reply
	if u.consumeReplyFault(CrossReply) {
		reply = u.crossedReply(reply)
	}
	u.previousReply = correct
	body := reply.Body
	switch {
	case u.consumeReplyFault(TruncateReply):
		body = body[:len(body)/2]
	case u.consumeReplyFault(CorruptReply):
		body = slices.Clone(body)
		body[len(body)/2] ^= 1
	case u.consumeReplyFault(BreakReply):
		body = nil
	}
	return reply, body
}

// crossedReply returns the previous reply or, if there is none, the reply with a
// request id that no call has.
func (u *Upstream) crossedReply(reply anvilmodel.CallReply) anvilmodel.CallReply {
	if u.previousReply.ID.Request != "" {
		return u.previousReply
	}
	reply.ID.Request += "-crossed"
	return reply
}

// handleCancel cancels a call, which then ends with status 499 on its own
// connection.
func (u *Upstream) handleCancel(w http.ResponseWriter, r *http.Request) {
	id, err := anvilwire.ParseCallID(r.PathValue("request"), r.PathValue("attempt"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	call := u.calls[id]
	if call == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	select {
	case <-call.cancelled:
	default:
		close(call.cancelled)
	}
	w.WriteHeader(http.StatusNoContent)
}
