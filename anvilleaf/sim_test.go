package anvilleaf_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
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
	blind    bool
	coldFor  time.Duration
	coldMost int
}

// newSim returns a leaf of incarnation 1 without nodes.
func newSim(seed uint64, slots int, queues bool) *sim {
	s := &sim{
		now:    epoch,
		rand:   rand.New(rand.NewPCG(seed, 0)),
		delay:  500 * time.Microsecond,
		slots:  slots,
		queues: queues,
	}
	s.restart(1)
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
	id      anvilmodel.CallID
	running bool
	answer  func(anvilmodel.CallResult, anvilmodel.RunState)
}

// restart replaces the leaf's process; its connections break.
func (s *sim) restart(i anvilmodel.Incarnation) {
	old := s.leaf
	s.leaf = &process{
		incarnation: i,
		born:        s.now,
		ran:         map[anvilmodel.CallID]int{},
	}
	if old == nil {
		return
	}
	old.dead = true
	s.past = append(s.past, old)
	for _, n := range s.nodes {
		for number, c := range n.connections {
			if c.process == old && !c.silent {
				n.lose(number, c)
			}
		}
	}
}

// arrive takes a call at the leaf. The leaf stops it by itself at its deadline.
func (s *sim) arrive(p *process, w *work, timeout time.Duration) {
	if len(p.work) >= s.slots && !s.queues {
		w.answer(anvilmodel.CallShed, anvilmodel.RunStateNotRun)
		return
	}
	p.work = append(p.work, w)
	if s.now.Before(p.born.Add(s.coldFor)) {
		s.coldMost = max(s.coldMost, len(p.work))
	}
	s.after(timeout, func() { s.end(p, w, anvilmodel.CallCancelled) })
	s.begin(p)
}

func (s *sim) begin(p *process) {
	for _, w := range p.work[:min(len(p.work), s.slots)] {
		if !w.running {
			w.running = true
			p.ran[w.id]++
			s.after(s.service(), func() { s.end(p, w, anvilmodel.CallOK) })
		}
	}
}

func (s *sim) end(p *process, w *work, r anvilmodel.CallResult) {
	i := slices.Index(p.work, w)
	if i < 0 {
		return
	}
	p.work = slices.Delete(p.work, i, i+1)
	ran := anvilmodel.RunStateNotRun
	if w.running {
		ran = anvilmodel.RunStateRun
	}
	w.answer(r, ran)
	s.begin(p)
}

// node is a dispatcher with its edge.
type node struct {
	sim         *sim
	d           *anvilleaf.Dispatcher
	number      anvilmodel.Incarnation
	dead        bool
	pausedUntil time.Time
	// replaced is set once another process has its slot; nothing then tells it
	// that it is in contact.
	replaced    bool
	isolated    bool
	connections map[int]*wire
	most        int
	calls       map[anvilmodel.CallID]anvilmodel.Call
	// on holds the connection of each started call.
	on      map[anvilmodel.CallID]int
	replies map[anvilmodel.CallID][]anvilmodel.CallReply
	onReply func(anvilmodel.Call, anvilmodel.CallReply)
}

// wire is a connection; done is non-nil while a call is on it.
type wire struct {
	process *process
	silent  bool
	closed  bool
	call    *anvilmodel.CallID
	// unwritten says that the connection ended before the call was written.
	unwritten bool
}

func (s *sim) add(c anvilleaf.Config) *node {
	n := &node{
		sim:         s,
		d:           anvilleaf.New(c, s.now),
		connections: map[int]*wire{},
		number:      anvilmodel.Incarnation(len(s.nodes)),
		calls:       map[anvilmodel.CallID]anvilmodel.Call{},
		on:          map[anvilmodel.CallID]int{},
		replies:     map[anvilmodel.CallID][]anvilmodel.CallReply{},
	}
	s.nodes = append(s.nodes, n)
	s.after(0, n.tick)
	return n
}

// when runs an event of the node's process, after its pause if it is in one.
func (n *node) when(run func()) {
	if wait := n.pausedUntil.Sub(n.sim.now); wait > 0 {
		n.sim.after(wait, func() { n.when(run) })
		return
	}
	if !n.dead {
		run()
	}
}

func (n *node) tick() { n.when(n.tickNow) }

func (n *node) tickNow() {
	n.do(n.d.Tick(n.sim.now, nil))
	if !n.replaced {
		n.do(n.d.SetIsolated(n.isolated, n.sim.now, nil))
	}
	next := n.d.Next().Sub(n.sim.now)
	n.sim.after(min(max(next, 100*time.Microsecond), 5*time.Millisecond), n.tick)
}

// submit hands a call over and returns its id.
func (n *node) submit(timeout time.Duration, priority int, hedge bool) anvilmodel.CallID {
	c := anvilmodel.Call{
		ID: anvilmodel.CallID{
			Origin:  n.number,
			Attempt: len(n.calls),
		},
		Timeout:  timeout,
		Priority: priority,
		Hedge:    hedge,
	}
	n.calls[c.ID] = c
	n.do(n.d.Submit(c, n.sim.now, nil))
	return c.ID
}

// adopt hands over another candidate's judgement.
func (n *node) adopt(i anvilmodel.Incarnation, cold bool, age time.Duration) {
	n.do(n.d.AdoptJudgement(anvilmodel.LeafState{
		Incarnation: i,
		Cold:        cold,
		Age:         age,
	}, n.sim.now, nil))
}

// observe hands over what the state endpoint says.
func (n *node) observe(i anvilmodel.Incarnation, cold, draining bool, age time.Duration) {
	n.do(n.d.ObserveState(anvilmodel.LeafState{
		Incarnation: i,
		Cold:        cold,
		Draining:    draining,
		Age:         age,
	}, n.sim.now, nil))
}

// done reports the end of a call as the edge does.
func (n *node) done(id anvilmodel.CallID, r anvilmodel.CallResult, said anvilmodel.RunState, i anvilmodel.Incarnation, written bool) {
	n.do(n.d.Done(anvilleaf.Outcome{
		Reply: anvilmodel.CallReply{
			ID:          id,
			Result:      r,
			Ran:         said,
			Incarnation: i,
		},
		Connection: n.on[id],
		Written:    written,
	}, n.sim.now, nil))
}

func (n *node) do(actions []anvilleaf.Action) {
	for _, a := range actions {
		switch a.Kind {
		case anvilleaf.ActionReply:
			n.replies[a.ID] = append(n.replies[a.ID], a.Reply)
			if n.onReply != nil {
				n.onReply(n.calls[a.ID], a.Reply)
			}
		case anvilleaf.ActionOpen:
			n.open(a.Connection)
		case anvilleaf.ActionClose:
			n.lose(a.Connection, n.connections[a.Connection])
		case anvilleaf.ActionStart:
			n.on[a.ID] = a.Connection
			n.start(a)
		case anvilleaf.ActionCancel:
			n.cancel(a.ID)
		}
	}
}

func (n *node) open(number int) {
	w := &wire{}
	n.connections[number] = w
	n.most = max(n.most, len(n.connections))
	s := n.sim
	s.after(4*s.delay, func() {
		w.process = s.leaf
		n.when(func() {
			if w.closed {
				return
			}
			i := w.process.incarnation
			if s.blind {
				i = 0
			}
			n.do(n.d.Opened(number, i, s.now, nil))
		})
	})
}

// lose closes a connection, and reports a call on it as broken first.
func (n *node) lose(number int, w *wire) {
	if w == nil || w.closed {
		return
	}
	w.closed = true
	n.sim.after(n.sim.delay, func() {
		n.when(func() {
			delete(n.connections, number)
			if w.call != nil {
				n.done(*w.call, anvilmodel.CallBroken, anvilmodel.RunStateUnknown, 0, !w.unwritten)
			}
			n.do(n.d.Closed(number, n.sim.now, nil))
		})
	})
}

func (n *node) start(a anvilleaf.Action) {
	s, w := n.sim, n.connections[a.Connection]
	w.call = &a.ID
	if w.silent {
		return
	}
	if w.closed {
		w.unwritten = true
		return
	}
	p := w.process
	answer := func(r anvilmodel.CallResult, ran anvilmodel.RunState) {
		s.after(s.delay, func() {
			n.when(func() {
				if w.closed || w.silent || p.dead || w.call == nil {
					return
				}
				w.call = nil
				n.done(a.ID, r, ran, p.incarnation, true)
			})
		})
	}
	s.after(s.delay, func() {
		if !p.dead {
			s.arrive(p, &work{
				id:     a.ID,
				answer: answer,
			}, a.Call.Timeout)
		}
	})
}

func (n *node) cancel(id anvilmodel.CallID) {
	s := n.sim
	s.after(s.delay, func() {
		p := s.leaf
		i := slices.IndexFunc(p.work, func(w *work) bool { return w.id == id })
		if i >= 0 {
			s.end(p, p.work[i], anvilmodel.CallCancelled)
		}
	})
}
