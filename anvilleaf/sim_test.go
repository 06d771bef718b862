package anvilleaf_test

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

var epoch = time.Date(2024, 3, 1, 6, 0, 0, 0, time.UTC)

// sim runs dispatchers against one fake leaf in virtual time.
type sim struct {
	now    time.Time
	rand   *rand.Rand
	events events
	count  int
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

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.count, run: run})
}

func (s *sim) runFor(d time.Duration) {
	until := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(until) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// process is one incarnation of the leaf.
type process struct {
	incarnation anvilmodel.Incarnation
	born        time.Time
	dead        bool
	running     map[anvilmodel.CallID]*work
	waiting     []*work
	ran         map[anvilmodel.CallID]int
}

// work is a call at the leaf; answer sends its reply, once.
type work struct {
	id     anvilmodel.CallID
	answer func(anvilmodel.CallResult, anvilmodel.RunState)
}

// restart replaces the leaf's process; its connections break.
func (s *sim) restart(i anvilmodel.Incarnation) {
	old := s.leaf
	s.leaf = &process{
		incarnation: i,
		born:        s.now,
		running:     map[anvilmodel.CallID]*work{},
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
	if len(p.running) >= s.slots && !s.queues {
		w.answer(anvilmodel.CallShed, anvilmodel.RunStateNotRun)
		return
	}
	s.after(timeout, func() { s.end(p, w, anvilmodel.CallCancelled) })
	p.waiting = append(p.waiting, w)
	s.coldCheck(p)
	s.work(p)
}

func (s *sim) work(p *process) {
	for len(p.running) < s.slots && len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.running[w.id] = w
		p.ran[w.id]++
		s.after(s.service(), func() { s.end(p, w, anvilmodel.CallOK) })
	}
}

func (s *sim) end(p *process, w *work, r anvilmodel.CallResult) {
	for i, o := range p.waiting {
		if o == w {
			p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
			w.answer(r, anvilmodel.RunStateNotRun)
			return
		}
	}
	if p.running[w.id] != w {
		return
	}
	delete(p.running, w.id)
	w.answer(r, anvilmodel.RunStateRun)
	s.work(p)
}

// coldCheck records the most calls that a process had in its cold time.
func (s *sim) coldCheck(p *process) {
	if s.now.Before(p.born.Add(s.coldFor)) {
		s.coldMost = max(s.coldMost, len(p.running)+len(p.waiting))
	}
}

// node is a dispatcher with its edge.
type node struct {
	sim         *sim
	d           *anvilleaf.Dispatcher
	dead        bool
	pausedUntil time.Time
	// replaced is set once another process has its slot; nothing then tells it
	// that it is in contact.
	replaced    bool
	isolated    bool
	connections map[int]*wire
	most        int
	calls       int
	started     map[anvilmodel.CallID]bool
	replies     map[anvilmodel.CallID][]anvilmodel.CallReply
	onReply     func(anvilmodel.CallReply)
	buffer      []anvilleaf.Action
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
		started:     map[anvilmodel.CallID]bool{},
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
func (n *node) submit(c anvilmodel.Call) anvilmodel.CallID {
	n.calls++
	c.ID = anvilmodel.CallID{
		Request: anvilmodel.RequestID(strconv.Itoa(n.calls)),
		Origin:  anvilmodel.Incarnation(len(n.sim.nodes)),
	}
	for i, o := range n.sim.nodes {
		if o == n {
			c.ID.Attempt = i
		}
	}
	n.do(n.d.Submit(c, n.sim.now, nil))
	return c.ID
}

func (n *node) do(actions []anvilleaf.Action) {
	for _, a := range actions {
		switch a.Kind {
		case anvilleaf.ActionReply:
			n.replies[a.ID] = append(n.replies[a.ID], a.Reply)
			if n.onReply != nil {
				n.onReply(a.Reply)
			}
		case anvilleaf.ActionOpen:
			n.open(a.Connection)
		case anvilleaf.ActionClose:
			n.lose(a.Connection, n.connections[a.Connection])
		case anvilleaf.ActionStart:
			n.started[a.ID] = true
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
				n.report(number, w, anvilmodel.CallReply{ID: *w.call, Result: anvilmodel.CallBroken})
			}
			n.do(n.d.Closed(number, n.sim.now, nil))
		})
	})
}

func (n *node) report(number int, w *wire, r anvilmodel.CallReply) {
	w.call = nil
	n.do(n.d.Done(anvilleaf.Outcome{Reply: r, Connection: number, Written: !w.unwritten}, n.sim.now, nil))
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
				n.report(a.Connection, w, anvilmodel.CallReply{
					ID:          a.ID,
					Result:      r,
					Ran:         ran,
					Incarnation: p.incarnation,
				})
			})
		})
	}
	s.after(s.delay, func() {
		if !p.dead {
			s.arrive(p, &work{id: a.ID, answer: answer}, a.Call.Timeout)
		}
	})
}

func (n *node) cancel(id anvilmodel.CallID) {
	s := n.sim
	s.after(s.delay, func() {
		p := s.leaf
		for _, w := range append(p.waiting[:len(p.waiting):len(p.waiting)], p.running[id]) {
			if w != nil && w.id == id {
				s.end(p, w, anvilmodel.CallCancelled)
			}
		}
	})
}
