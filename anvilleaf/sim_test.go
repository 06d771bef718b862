package anvilleaf_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

const (
	service = 5 * time.Millisecond
	timeout = 100 * time.Millisecond
	margin  = 100 * time.Millisecond

	unknown = anvilmodel.RunStateUnknown
	notRun  = anvilmodel.RunStateNotRun
	run     = anvilmodel.RunStateRun
)

var epoch = time.Date(2024, 3, 1, 6, 0, 0, 0, time.UTC)

// sim runs dispatchers against one fake leaf in virtual time.
type sim struct {
	now    time.Time
	rand   *rand.Rand
	events []event
	nodes  []*node
	leaf   *process
	past   []*process
	// delay is the one-way network delay, service draws a service time.
	delay   time.Duration
	service func() time.Duration
	slots   int
	// queues tells whether the leaf queues calls over its slots, or sheds them.
	queues bool
	// blind edges read no state when they open a connection.
	blind bool
	// lags delays one message in ten to the leaf by up to nearly the margin.
	lags bool
	// saysCold is what the leaf's replies say.
	saysCold bool
	coldFor  time.Duration
	coldMost int
}

func share(connections, cold int) anvilleaf.Share {
	return anvilleaf.Share{
		Connections:     connections,
		ColdConcurrency: cold,
	}
}

// newSim returns a leaf of incarnation 10 without nodes.
func newSim(seed uint64, slots int, queues bool) *sim {
	s := &sim{
		now:    epoch,
		rand:   rand.New(rand.NewPCG(seed, 0)),
		delay:  500 * time.Microsecond,
		slots:  slots,
		queues: queues,
		leaf:   &process{},
	}
	s.restart(10)
	return s
}

type event struct {
	at  time.Time
	run func()
}

// after runs a function later; functions of the same time run in order.
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

// lag draws how much longer than usual a message to the leaf takes.
func (s *sim) lag() time.Duration {
	if s.lags && s.rand.IntN(10) == 0 {
		return time.Duration(s.rand.Int64N(int64(margin - 10*time.Millisecond)))
	}
	return 0
}

// process is one incarnation of the leaf. The first calls, one per slot, run.
type process struct {
	incarnation anvilmodel.Incarnation
	born        time.Time
	dead        bool
	work        []*work
	ran         map[anvilmodel.CallID]int
}

// work is a call at the leaf.
type work struct {
	id     anvilmodel.CallID
	ran    anvilmodel.RunState
	answer func(anvilmodel.CallResult)
}

// restart replaces the leaf's process; its connections break.
func (s *sim) restart(i anvilmodel.Incarnation) {
	old := s.leaf
	old.dead = true
	s.past = append(s.past, old)
	s.leaf = &process{
		incarnation: i,
		born:        s.now,
		ran:         map[anvilmodel.CallID]int{},
	}
	for _, n := range s.nodes {
		for number, c := range n.connections {
			if c.process == old && !c.silent {
				n.lose(number)
			}
		}
	}
}

// arrive takes a call at the leaf. The leaf stops it by itself at its deadline.
func (s *sim) arrive(p *process, w *work, timeout time.Duration) {
	if p.dead {
		return
	}
	if len(p.work) >= s.slots && !s.queues {
		w.answer(anvilmodel.CallShed)
		return
	}
	p.work = append(p.work, w)
	if s.now.Before(p.born.Add(s.coldFor)) {
		s.coldMost = max(s.coldMost, len(p.work))
	}
	s.after(timeout, func() { s.end(p, w.id, anvilmodel.CallCancelled) })
	s.begin(p)
}

func (s *sim) begin(p *process) {
	for _, w := range p.work[:min(len(p.work), s.slots)] {
		if w.ran == notRun {
			w.ran = run
			p.ran[w.id]++
			s.after(s.service(), func() { s.end(p, w.id, anvilmodel.CallOK) })
		}
	}
}

func (s *sim) end(p *process, id anvilmodel.CallID, r anvilmodel.CallResult) {
	i := slices.IndexFunc(p.work, func(w *work) bool { return w.id == id })
	if i < 0 {
		return
	}
	w := p.work[i]
	p.work = slices.Delete(p.work, i, i+1)
	w.answer(r)
	s.begin(p)
}
