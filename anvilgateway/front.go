package anvilgateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilgather"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// abandonGrace is how long calls that are not needed any more may take to end by
	// themselves, so that their connections are kept.
	abandonGrace = 250 * time.Millisecond
	// writeTimeout is how long a caller may take to read an answer.
	writeTimeout = 15 * time.Second
)

// ServeHTTP serves a request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.lastWork.Store(arrived.UnixNano())
	running := g.requests.Add(1)
	defer g.requests.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s := &served{
		gateway: g,
		writer:  w,
		arrived: arrived,
		opened:  firstOnConnection(r.Context()),
		held: heldBytes{
			memory: &g.bodies,
		},
	}
	defer s.held.release()
	if r.ContentLength != 0 {
		s.limitRead(arrived.Add(longestBodyTime))
	}
	if refused := s.accept(r, running); refused != nil {
		s.refuse(refused)
		return
	}
	if refused := s.admit(); refused != nil {
		s.refuse(refused)
		return
	}
	s.run(r)
}

// admit reads how much of the caller's time has passed, and refuses a query that its
// leafs cannot take, as far as is known.
func (s *served) admit() *refusal {
	g := s.gateway
	g.balancing.Lock()
	defer g.balancing.Unlock()
	s.elapsed, s.transit = g.clock.Observe(s.route.Name, s.stated, s.opened, s.arrived)
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
		Elapsed:       s.elapsed,
	}) {
		s.overloaded = s.limiter.Overloaded(s.arrived)
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, "leafs-overloaded", s.limiter.RetryAfter(s.arrived, g.balancer.RandomFloat64()))
}

// release tells the limiter how the query ended.
func (s *served) release(finish *anvilgather.Action) {
	if s.limiter == nil {
		return
	}
	g := s.gateway
	g.balancing.Lock()
	defer g.balancing.Unlock()
	answered := finish != nil && finish.Finish == anvilgather.FinishAnswered
	now := time.Now()
	half, in := s.request.MedianLatency(now)
	s.limiter.Done(anvilgather.Completion{
		Route:         s.route.Name,
		TargetLatency: s.route.TargetLatency,
		StartedAt:     s.arrived,
		MedianLatency: half,
		MedianKnown:   in,
		Shed:          finish != nil && !answered && finish.Cause == anvilgather.CauseShed,
	}, now)
}

// served is a request that is being served.
type served struct {
	gateway *Gateway
	writer  http.ResponseWriter
	arrived time.Time
	id      string
	route   *anvilroute.Route
	version uint64
	out     *outbound
	timeout time.Duration
	// stated is the time left that the caller states; elapsed and transit are
	// worked out from it.
	stated time.Duration
	// opened says that the request is the first on its connection.
	opened  bool
	elapsed time.Duration
	transit time.Duration

	held    heldBytes
	limiter *anvilgather.Limiter
	// limit is that of the limiter on arrival.
	limit      float64
	hedgeDelay time.Duration
	// overloaded says that the leafs have more queries than they can answer in time.
	overloaded bool
	request    *anvilgather.Request
	replies    chan callEnd
	started    []*leafCall
	// good are the replies of the parts that are in.
	good []*reply
	// failure is the last reply of a leaf that failed.
	failure *reply
}

// callEnd is the end of a call.
type callEnd struct {
	call  int
	part  int
	reply *reply
}

// run sends the calls of the request, waits for what they bring and answers.
func (s *served) run(r *http.Request) {
	g := s.gateway
	services := s.services()
	// Calls outlive the request for a moment, unless the caller leaves.
	calls, abandon := context.WithCancel(g.background)
	s.request = anvilgather.New(anvilgather.Config{
		Route:      s.route,
		Services:   services,
		ArrivedAt:  s.arrived,
		Elapsed:    s.elapsed,
		Transit:    s.transit,
		Timeout:    s.timeout,
		HedgeDelay: s.hedgeDelay,
		Overloaded: s.overloaded,
		Available: func(name anvilmodel.ServiceName, now time.Time) bool {
			g.balancing.Lock()
			defer g.balancing.Unlock()
			return g.balancer.ServiceAvailable(name, now)
		},
		Deferral: func(name anvilmodel.ServiceName, now time.Time) time.Duration {
			g.balancing.Lock()
			defer g.balancing.Unlock()
			return g.balancer.ServiceDeferral(name, now)
		},
		Pick: func(c anvilbalance.PickRequest, now time.Time) (anvilbalance.Leaf, anvilbalance.PickStatus) {
			g.balancing.Lock()
			defer g.balancing.Unlock()
			return g.balancer.Pick(c, now)
		},
	})
	s.good = make([]*reply, len(services))
	s.replies = make(chan callEnd, len(services)*max(s.route.MaxAttempts, 1))
	finish := s.loop(r.Context(), calls)
	s.release(finish)
	switch {
	case s.request.InFlight() == 0:
		abandon()
	case finish == nil && !s.route.NonIdempotent:
		abandon()
	default:
		// A non-idempotent call that has begun is not interrupted.
		grace := abandonGrace
		if s.route.NonIdempotent {
			grace = s.timeout
		}
		time.AfterFunc(grace, abandon)
	}
	if finish != nil {
		s.answer(finish)
	}
	s.logEnd(finish)
}

// services returns the services of the request, counts it for each and reads what
// else is known of the route.
func (s *served) services() []anvilmodel.ServiceName {
	g := s.gateway
	now := time.Now()
	g.balancing.Lock()
	defer g.balancing.Unlock()
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

// loop drives the request until it finishes; it returns nil if the caller left.
func (s *served) loop(caller, calls context.Context) *anvilgather.Action {
	actions := s.request.Start(time.Now(), nil)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if finish := s.carryOut(calls, actions); finish != nil {
			return finish
		}
		actions = actions[:0]
		timer.Reset(max(time.Until(s.request.NextTick()), 0))
		select {
		case end := <-s.replies:
			actions = s.handle(end, actions)
		case <-timer.C:
			actions = s.request.Tick(time.Now(), actions)
		case <-s.gateway.ending:
			actions = s.request.Shutdown(time.Now(), actions)
		case <-caller.Done():
			return nil
		}
	}
}

func (s *served) handle(end callEnd, actions []anvilgather.Action) []anvilgather.Action {
	r := end.reply
	outcome := r.outcome
	switch {
	case outcome == anvilbalance.OutcomeGood && s.route.FansOut() && r.status >= 300:
		outcome = anvilbalance.OutcomeFailed
	case outcome == anvilbalance.OutcomeGood:
		if s.good[end.part] == nil {
			s.good[end.part] = r
		}
	case outcome == anvilbalance.OutcomeFailed:
		s.failure = r
	}
	return s.request.HandleOutcome(end.call, outcome, time.Now(), actions)
}

// carryOut does what the request asks for and returns its end, if it has come.
func (s *served) carryOut(calls context.Context, actions []anvilgather.Action) *anvilgather.Action {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case anvilgather.ActionCall:
			c := &leafCall{
				served:   s,
				index:    a.CallIndex,
				part:     a.PartIndex,
				kind:     a.CallKind,
				leaf:     a.Leaf,
				deadline: a.Deadline,
			}
			s.started = append(s.started, c)
			go c.run(calls)
		case anvilgather.ActionReportOverdue:
			s.started[a.CallIndex].noteOverdue()
		case anvilgather.ActionFinish:
			finish := *a
			return &finish
		}
	}
	return nil
}

// answer writes the end of the request to the caller.
func (s *served) answer(finish *anvilgather.Action) {
	switch {
	case finish.Finish == anvilgather.FinishAnswered && s.route.FansOut():
		s.answerMerged()
	case finish.Finish == anvilgather.FinishAnswered:
		s.forward(s.good[0])
	case finish.Finish == anvilgather.FinishRefused:
		s.write(newRefusal(http.StatusServiceUnavailable, finish.Cause.String(), finish.RetryAfter))
	case finish.Cause == anvilgather.CauseTimeout:
		s.write(newRefusal(http.StatusGatewayTimeout, finish.Cause.String(), 0))
	case s.failure != nil && !s.route.FansOut():
		s.forward(s.failure)
	default:
		s.write(newRefusal(http.StatusBadGateway, finish.Cause.String(), 0))
	}
}

// answerMerged writes the greatest records of the parts that are in.
func (s *served) answerMerged() {
	signatures := make([]string, 0, len(s.good))
	parts := make([][]byte, 0, len(s.good))
	for _, r := range s.good {
		if r != nil {
			signatures = append(signatures, r.leaf.Signature)
			parts = append(parts, r.body)
		}
	}
	merged := anvilgather.MergeTop(parts, s.route.TopK)
	header := s.writer.Header()
	s.gateway.config.Protocol.EncodeMergedHeaders(header, signatures, len(s.good)-len(parts))
	header.Set("Content-Type", "application/octet-stream")
	s.send(http.StatusOK, merged)
}

// forward writes a leaf's reply unchanged.
func (s *served) forward(r *reply) {
	header := s.writer.Header()
	dropped := connectionHeaders(r.header)
	for name, values := range r.header {
		if !hopHeaders[name] && !dropped[name] {
			header[name] = values
		}
	}
	if _, ok := header["Content-Type"]; !ok {
		// Without an entry the server would guess a type.
		header["Content-Type"] = nil
	}
	s.send(r.status, r.body)
}

func (s *served) send(status int, body []byte) {
	if status != http.StatusNoContent && status != http.StatusNotModified && s.out.request.Method != http.MethodHead {
		s.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	s.limitWrite()
	s.writer.WriteHeader(status)
	if _, err := s.writer.Write(body); err != nil {
		s.gateway.config.Log.Info().Str("event", "answer-not-delivered").Str("request", s.id).Err(err).Send()
	}
}

// limitWrite ends a connection whose caller does not read the answer.
func (s *served) limitWrite() {
	// An error shows in the write that follows.
	_ = http.NewResponseController(s.writer).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// logEnd writes the one line of a request that was accepted.
func (s *served) logEnd(finish *anvilgather.Action) {
	g := s.gateway
	elapsed := time.Since(s.arrived)
	outcome, cause := "caller-left", "none"
	if finish != nil {
		outcome, cause = finish.Finish.String(), finish.Cause.String()
	}
	g.config.Metrics.Add(anvilmetric.Queries, 1, string(s.route.Name), outcome)
	g.config.Metrics.ObserveDuration(anvilmetric.QueryDuration, elapsed, string(s.route.Name))
	hedges, retries := s.request.ExtraCalls()
	line := g.config.Log.Info().Str("event", "request").Str("request", s.id).
		Str("route", string(s.route.Name)).Uint64("version", s.version).
		Str("outcome", outcome).Str("cause", cause).Dur("elapsed-ms", elapsed).
		Dur("timeout-ms", s.timeout).Dur("elapsed-before-ms", s.elapsed).Dur("transit-ms", s.transit).Int("parts", len(s.good)).Int("hedges", hedges).Int("retries", retries).Dur("hedge-delay-ms", s.hedgeDelay)
	if missing := s.request.MissingParts(); len(missing) > 0 {
		line.Str("missing", describeMissing(missing))
	}
	if s.overloaded {
		line.Float64("limit", s.limit)
	}
	if finish != nil && finish.Finish == anvilgather.FinishRefused {
		line.Dur("retry-after-ms", finish.RetryAfter)
	}
	line.Send()
}

// loggedParts bounds the missing parts that a log line names.
const loggedParts = 8

// describeMissing names missing parts as service:cause:leaf+leaf.
func describeMissing(missing []anvilgather.MissingPart) string {
	var text strings.Builder
	for i, m := range missing {
		if i == loggedParts {
			text.WriteString(",+")
			text.WriteString(strconv.Itoa(len(missing) - loggedParts))
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
