package anvilleaf_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

const (
	service     = 5 * time.Millisecond
	timeout     = 100 * time.Millisecond
	gracePeriod = 100 * time.Millisecond

	unknown = anvilmodel.RunStateUnknown
	notRun  = anvilmodel.RunStateNotRun
	run     = anvilmodel.RunStateRun
)

var epoch = time.Date(2024, 3, 1, 6, 0, 0, 0, time.UTC)

// sim runs dispatchers against one simulated leaf in virtual time.
type sim struct {
	now           time.Time
	rand          *rand.Rand
	events        []event
	nodes         []*node
	leaf          *leafProcess
	pastProcesses []*leafProcess
	// delay is the one-way network delay; service returns a random service
	// time.
	delay   time.Duration
	service func() time.Duration
	slots   int
	// queues is true if the leaf queues calls above its slots, false if it
	// sheds them.
	queues bool
	// skipsInitialState makes the owners read no state when they open a
	// connection.
	skipsInitialState bool
	// delaysMessages delays one message in ten to the leaf by up to nearly the
	// grace period.
	delaysMessages bool
	// reportsCold is the cold flag in the leaf's replies.
	reportsCold  bool
	coldDuration time.Duration
	maxColdCalls int
}

func share(connections, cold int) anvilleaf.Share {
	return anvilleaf.Share{
		Connections:     connections,
		ColdConcurrency: cold,
	}
}

// newSim returns a simulation with a leaf of incarnation 10 and no nodes.
func newSim(seed uint64, slots int, queues bool) *sim {
	s := &sim{
		now:    epoch,
		rand:   rand.New(rand.NewPCG(seed, 0)),
		delay:  500 * time.Microsecond,
		slots:  slots,
		queues: queues,
		leaf:   &leafProcess{},
	}
	s.restart(10)
	return s
}

type event struct {
	at  time.Time
	run func()
}

// after runs a function later; functions scheduled for the same time run in
// order.
func (s *sim) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	i := len(s.events)
	for i > 0 && s.events[i-1].at.After(at) {
		i--
	}
	s.events = slices.Insert(s.events, i, event{
		at:  at,
		run: run,
	})
}

func (s *sim) runFor(d time.Duration) {
	until := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.run()
	}
	s.now = until
}

// extraDelay returns a random additional delay of a message to the leaf.
func (s *sim) extraDelay() time.Duration {
	if s.delaysMessages && s.rand.IntN(10) == 0 {
		return time.Duration(s.rand.Int64N(int64(gracePeriod - 10*time.Millisecond)))
	}
	return 0
}

// leafProcess is one incarnation of the leaf. It runs the first of its calls,
// one per slot.
type leafProcess struct {
	incarnation anvilmodel.Incarnation
	startedAt   time.Time
	stopped     bool
	calls       []*leafCall
	runCounts   map[anvilmodel.CallID]int
}

// leafCall is a call at the leaf.
type leafCall struct {
	id       anvilmodel.CallID
	runState anvilmodel.RunState
	answer   func(anvilmodel.CallResult)
}

// restart replaces the leaf's process; connections to the old one break.
func (s *sim) restart(i anvilmodel.Incarnation) {
	old := s.leaf
	old.stopped = true
	s.pastProcesses = append(s.pastProcesses, old)
	s.leaf = &leafProcess{
		incarnation: i,
		startedAt:   s.now,
		runCounts:   map[anvilmodel.CallID]int{},
	}
	for _, n := range s.nodes {
		for number, c := range n.connections {
			if c.process == old && !c.silent {
				n.breakConnection(number)
			}
		}
	}
}

// receiveCall handles a call that arrives at the leaf. The leaf stops it on its
// own at its deadline.
func (s *sim) receiveCall(p *leafProcess, call *leafCall, timeout time.Duration) {
	if p.stopped {
		return
	}
	if len(p.calls) >= s.slots && !s.queues {
		call.answer(anvilmodel.CallShed)
		return
	}
	p.calls = append(p.calls, call)
	if s.now.Before(p.startedAt.Add(s.coldDuration)) {
		s.maxColdCalls = max(s.maxColdCalls, len(p.calls))
	}
	s.after(timeout, func() { s.endCall(p, call.id, anvilmodel.CallCancelled) })
	s.runCalls(p)
}

func (s *sim) runCalls(p *leafProcess) {
	for _, call := range p.calls[:min(len(p.calls), s.slots)] {
		if call.runState == notRun {
			call.runState = run
			p.runCounts[call.id]++
			s.after(s.service(), func() { s.endCall(p, call.id, anvilmodel.CallOK) })
		}
	}
}

func (s *sim) endCall(p *leafProcess, id anvilmodel.CallID, r anvilmodel.CallResult) {
	i := slices.IndexFunc(p.calls, func(call *leafCall) bool { return call.id == id })
	if i < 0 {
		return
	}
	call := p.calls[i]
	p.calls = slices.Delete(p.calls, i, i+1)
	call.answer(r)
	s.runCalls(p)
}
