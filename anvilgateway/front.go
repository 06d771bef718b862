package anvilgateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilgather"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// abandonedCallGrace is how long calls that are no longer needed may take to
	// complete, so that their connections can be reused.
	abandonedCallGrace = 250 * time.Millisecond
	// responseWriteTimeout bounds the time in which a caller must read a response.
	responseWriteTimeout = 15 * time.Second
)

// ServeHTTP serves a request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.lastRequest.Store(arrived.UnixNano())
	inFlight := g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.shuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	s := &servedRequest{
		gateway:           g,
		writer:            w,
		arrivedAt:         arrived,
		firstOnConnection: isFirstOnConnection(r.Context()),
		memory: requestMemory{
			budget: &g.bodyBudget,
		},
	}
	defer s.memory.release()
	if r.ContentLength != 0 {
		s.setReadDeadline(arrived.Add(maxBodyReadTime))
	}
	if refused := s.prepare(r, inFlight); refused != nil {
		s.refuse(refused)
		return
	}
	g.requestCount.Add(1)
	if refused := s.admit(); refused != nil {
		s.refuse(refused)
		return
	}
	s.run(r)
}

// admit estimates how much of the caller's timeout has already passed, and refuses a
// fan-out query if its leaves are overloaded.
func (s *servedRequest) admit() *refusal {
	g := s.gateway
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	s.elapsedBefore, s.transit = g.elapsedEstimator.Observe(s.route.Name, s.callerTimeout, s.firstOnConnection, s.arrivedAt)
	if !s.route.FansOut() {
		return nil
	}
	// Routes over the same shards share a limiter.
	key := s.route.Shards[0]
	s.limiter = g.limiters[key]
	if s.limiter == nil {
		s.limiter = anvilgather.NewLimiter()
		g.limiters[key] = s.limiter
	}
	s.limit = s.limiter.Limit()
	if s.limiter.Admit(anvilgather.AdmissionRequest{
		Route:         s.route.Name,
		Priority:      s.route.Priority,
		TargetLatency: s.route.TargetLatency,
		Elapsed:       s.elapsedBefore,
	}) {
		s.overloaded = s.limiter.Overloaded(s.arrivedAt)
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, "leafs-overloaded", s.limiter.RetryAfter(s.arrivedAt, g.balancer.RandomFloat64()))
}

// releaseLimiter reports the end of the query to the limiter.
func (s *servedRequest) releaseLimiter(finish *anvilgather.Action) {
	if s.limiter == nil {
		return
	}
	g := s.gateway
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	answered := finish != nil && finish.Finish == anvilgather.FinishAnswered
	now := time.Now()
	medianLatency, medianKnown := s.state.MedianLatency(now)
	s.limiter.Done(anvilgather.Completion{
		Route:         s.route.Name,
		TargetLatency: s.route.TargetLatency,
		StartedAt:     s.arrivedAt,
		MedianLatency: medianLatency,
		MedianKnown:   medianKnown,
		Shed:          finish != nil && !answered && finish.Cause == anvilgather.CauseShed,
	}, now)
}

// servedRequest is a request that is being served.
type servedRequest struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	arrivedAt time.Time
	id        string
	// method, host, target, authorization and the body identify what the caller asks for.
	// fingerprintValue is computed when it is first needed.
	method           string
	host             string
	target           string
	authorization    string
	fingerprintOnce  sync.Once
	fingerprintValue anvilmodel.Fingerprint
	// inTrial is set if the request goes to a single leaf first, because leaves have crashed
	// under it. underSuspicion is set once it has an entry in the quarantine, and answered once
	// a leaf has answered it.
	inTrial        bool
	underSuspicion atomic.Bool
	answered       atomic.Bool
	route          *anvilroute.Route
	version        uint64
	outbound       *outboundRequest
	timeout        time.Duration
	// callerTimeout is the remaining time that the caller states. elapsedBefore and
	// transit are estimated from it: the time that had passed at the caller when the
	// request arrived, and the network time of request and answer.
	callerTimeout time.Duration
	// firstOnConnection is set if the request is the first on its connection.
	firstOnConnection bool
	elapsedBefore     time.Duration
	transit           time.Duration

	memory  requestMemory
	limiter *anvilgather.Limiter
	// limit is the concurrency limit when the request arrived.
	limit      float64
	hedgeDelay time.Duration
	// overloaded is set if the leaves have more queries than they can answer in time.
	overloaded bool
	state      *anvilgather.Request
	// pickedAt is when leaves were last picked.
	pickedAt  time.Time
	completed chan completedCall
	calls     []*leafCall
	// partReplies holds the successful replies, indexed by part of the request.
	partReplies []*exchangeResult
	// lastFailure is the most recent reply of a leaf with a failure.
	lastFailure *exchangeResult
}

// completedCall passes the result of a call to the event loop of its request.
type completedCall struct {
	callIndex int
	partIndex int
	result    *exchangeResult
}

// run sends the calls of the request, waits for their replies and answers the caller.
func (s *servedRequest) run(r *http.Request) {
	g := s.gateway
	services := s.selectServices()
	// Calls may outlive the request for a short time, unless the caller disconnects.
	callsCtx, cancelCalls := context.WithCancel(g.background)
	s.state = anvilgather.New(anvilgather.Config{
		Route:      s.route,
		Services:   services,
		ArrivedAt:  s.arrivedAt,
		Elapsed:    s.elapsedBefore,
		Transit:    s.transit,
		Timeout:    s.timeout,
		HedgeDelay: s.hedgeDelay,
		Overloaded: s.overloaded,
		Trial:      s.inTrial,
		Available: func(name anvilmodel.ServiceName, now time.Time) bool {
			g.balancerMu.Lock()
			defer g.balancerMu.Unlock()
			return g.balancer.ServiceAvailable(name, now)
		},
		Deferral: func(name anvilmodel.ServiceName, now time.Time) time.Duration {
			g.balancerMu.Lock()
			defer g.balancerMu.Unlock()
			return g.balancer.ServiceDeferral(name, now)
		},
		Pick: func(c anvilbalance.PickRequest, now time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
			if s.route.NonIdempotent && !s.canFinish(now) {
				return anvilbalance.Leaf{}, anvilbalance.PickNoLeaf
			}
			if c.Kind != anvilbalance.CallFirst && !s.inTrial && s.isSuspected(now) {
				return anvilbalance.Leaf{}, anvilbalance.PickNoLeaf
			}
			g.balancerMu.Lock()
			defer g.balancerMu.Unlock()
			s.pickedAt = now
			return g.balancer.Pick(c, now)
		},
	})
	s.partReplies = make([]*exchangeResult, len(services))
	s.completed = make(chan completedCall, len(services)*max(s.route.MaxAttempts, 1))
	finish := s.eventLoop(r.Context(), callsCtx)
	s.releaseLimiter(finish)
	switch {
	case s.state.InFlight() == 0:
		cancelCalls()
	case finish == nil && !s.route.NonIdempotent:
		cancelCalls()
	default:
		// A non-idempotent call that has been sent is not interrupted.
		grace := abandonedCallGrace
		if s.route.NonIdempotent {
			grace = s.timeout
		}
		time.AfterFunc(grace, cancelCalls)
	}
	if finish != nil {
		s.respond(finish)
	}
	s.logCompletion(finish)
	if finish == nil {
		// The HTTP server would otherwise send an empty response with status 200 to a caller
		// that has closed only its sending side.
		panic(http.ErrAbortHandler)
	}
}

// selectServices returns the services to call and counts the request for each of them. It
// also determines the hedge delay of the route.
func (s *servedRequest) selectServices() []anvilmodel.ServiceName {
	g := s.gateway
	now := time.Now()
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	services := s.route.Shards
	if !s.route.FansOut() {
		services = []anvilmodel.ServiceName{g.splitter.Choose(s.route)}
	}
	for _, name := range services {
		g.balancer.CountRequest(name, now)
	}
	s.hedgeDelay = g.balancer.HedgeDelay(s.route.Name, s.route.TargetLatency, len(services))
	return services
}

// eventLoop drives the request until it finishes. It returns nil if the caller
// disconnected.
func (s *servedRequest) eventLoop(callerCtx, callsCtx context.Context) *anvilgather.Action {
	actions := s.state.Start(time.Now(), nil)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if finish := s.execute(callsCtx, actions); finish != nil {
			return finish
		}
		actions = actions[:0]
		timer.Reset(max(time.Until(s.state.NextTick()), 0))
		select {
		case c := <-s.completed:
			actions = s.handleCompleted(c, actions)
		case <-timer.C:
			actions = s.state.Tick(time.Now(), actions)
		case <-s.gateway.finishNow:
			actions = s.state.Shutdown(time.Now(), actions)
		case <-callerCtx.Done():
			return nil
		}
	}
}

func (s *servedRequest) handleCompleted(c completedCall, actions []anvilgather.Action) []anvilgather.Action {
	result := c.result
	outcome := result.outcome
	switch {
	case outcome == anvilbalance.OutcomeGood && s.route.FansOut() && result.status >= 300:
		outcome = anvilbalance.OutcomeFailed
	case outcome == anvilbalance.OutcomeGood:
		if s.partReplies[c.partIndex] == nil {
			s.partReplies[c.partIndex] = result
		}
	case outcome == anvilbalance.OutcomeFailed:
		s.lastFailure = result
	}
	return s.state.HandleOutcome(c.callIndex, outcome, time.Now(), actions)
}

// execute performs the actions that the state of the request has returned. It returns the
// action that finishes the request, if there is one.
func (s *servedRequest) execute(callsCtx context.Context, actions []anvilgather.Action) *anvilgather.Action {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case anvilgather.ActionCall:
			c := &leafCall{
				parent:    s,
				callIndex: a.CallIndex,
				partIndex: a.PartIndex,
				kind:      a.CallKind,
				leaf:      a.Leaf,
				deadline:  a.Deadline,
				pickedAt:  s.pickedAt,
			}
			s.calls = append(s.calls, c)
			go c.run(callsCtx)
		case anvilgather.ActionReportOverdue:
			s.calls[a.CallIndex].reportOverdue()
		case anvilgather.ActionFinish:
			finish := *a
			return &finish
		}
	}
	return nil
}

// respond writes the final result of the request to the caller.
func (s *servedRequest) respond(finish *anvilgather.Action) {
	switch {
	case finish.Finish == anvilgather.FinishAnswered && s.route.FansOut():
		s.respondMerged()
	case finish.Finish == anvilgather.FinishAnswered:
		s.forwardReply(s.partReplies[0])
	case finish.Finish == anvilgather.FinishRefused:
		s.writeRefusal(newRefusal(http.StatusServiceUnavailable, finish.Cause.String(), finish.RetryAfter))
	case finish.Cause == anvilgather.CauseTimeout:
		s.writeRefusal(newRefusal(http.StatusGatewayTimeout, finish.Cause.String(), 0))
	case s.lastFailure != nil && !s.route.FansOut():
		s.forwardReply(s.lastFailure)
	default:
		s.writeRefusal(newRefusal(http.StatusBadGateway, finish.Cause.String(), 0))
	}
}

// respondMerged merges the replies of the parts and writes the records that rank highest.
func (s *servedRequest) respondMerged() {
	signatures := make([]string, 0, len(s.partReplies))
	parts := make([][]byte, 0, len(s.partReplies))
	for _, r := range s.partReplies {
		if r != nil {
			signatures = append(signatures, r.reply.Signature)
			parts = append(parts, r.body)
		}
	}
	merged := anvilgather.MergeTop(parts, s.route.TopK)
	header := s.writer.Header()
	s.gateway.config.Protocol.EncodeMergedHeaders(header, signatures, len(s.partReplies)-len(parts))
	header.Set("Content-Type", "application/octet-stream")
	s.writeResponse(http.StatusOK, merged)
}

// forwardReply writes a leaf's reply unchanged.
func (s *servedRequest) forwardReply(r *exchangeResult) {
	header := s.writer.Header()
	listed := connectionHeaders(r.header)
	for name, values := range r.header {
		if !hopByHopHeaders[name] && !listed[name] {
			header[name] = values
		}
	}
	if _, ok := header["Content-Type"]; !ok {
		// Without an entry, the HTTP server would detect a content type.
		header["Content-Type"] = nil
	}
	s.writeResponse(r.status, r.body)
}

func (s *servedRequest) writeResponse(status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified && s.outbound.request.Method != http.MethodHead {
		s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	s.setWriteDeadline()
	s.writer.WriteHeader(status)
	if _, err := s.writer.Write(body); err != nil {
		s.gateway.config.Log.Info().Str("event", "answer-not-delivered").Str("request", s.id).Err(err).Send()
	}
}

// setWriteDeadline bounds the time in which the caller must read the response.
func (s *servedRequest) setWriteDeadline() {
	// An error is reported by the write that follows.
	_ = http.NewResponseController(s.writer).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
}

// logCompletion writes the single log line of an accepted request.
func (s *servedRequest) logCompletion(finish *anvilgather.Action) {
	g := s.gateway
	elapsed := time.Since(s.arrivedAt)
	outcome, cause := "caller-left", "none"
	if finish != nil {
		outcome, cause = finish.Finish.String(), finish.Cause.String()
	}
	g.config.Metrics.Add(anvilmetric.Queries, 1, string(s.route.Name), outcome)
	g.config.Metrics.ObserveDuration(anvilmetric.QueryDuration, elapsed, string(s.route.Name))
	hedges, retries := s.state.ExtraCalls()
	line := g.config.Log.Info().Str("event", "request").Str("request", s.id).
		Str("route", string(s.route.Name)).Uint64("version", s.version).
		Str("outcome", outcome).Str("cause", cause).Dur("elapsed-ms", elapsed).
		Dur("timeout-ms", s.timeout).Dur("elapsed-before-ms", s.elapsedBefore).Dur("transit-ms", s.transit).Int("parts", len(s.partReplies)).Int("hedges", hedges).Int("retries", retries).Dur("hedge-delay-ms", s.hedgeDelay)
	if missing := s.state.MissingParts(); len(missing) > 0 {
		line.Str("missing", formatMissingParts(missing))
	}
	if s.overloaded {
		line.Float64("limit", s.limit)
	}
	if finish != nil && finish.Finish == anvilgather.FinishRefused {
		line.Dur("retry-after-ms", finish.RetryAfter)
	}
	line.Send()
}

// maxLoggedParts bounds the missing parts that a log line names.
const maxLoggedParts = 8

// formatMissingParts formats each missing part as service:cause:leaf+leaf.
func formatMissingParts(missing []anvilgather.MissingPart) string {
	var text strings.Builder
	for i, m := range missing {
		if i == maxLoggedParts {
			text.WriteString(",+")
			text.WriteString(strconv.Itoa(len(missing) - maxLoggedParts))
			break
		}
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(string(m.Service))
		text.WriteByte(':')
		text.WriteString(m.Cause.String())
		for k, leaf := range m.Leaves {
			if k == 0 {
				text.WriteByte(':')
			} else {
				text.WriteByte('+')
			}
			text.WriteString(string(leaf))
		}
	}
	return text.String()
}
