package anvilpeer

import (
	"context"
	"sync"
	"time"

	"anvilbridge/anvilmember"
)

// ProberConfig joins a Prober to its owner. Fields that may be nil say so.
type ProberConfig struct {
	Membership *anvilmember.Membership
	// Lock guards Membership. The owner may guard more with it.
	Lock   sync.Locker
	Client *Client
	// Context ends probes under way.
	Context context.Context
	// Go runs a task that the owner waits for.
	Go func(task func())
	// BeforeTick is called before each tick; it may be nil.
	BeforeTick func()
	// AfterUpdate is called under the lock after each call of the membership; it may be
	// nil.
	AfterUpdate func()
	// BeforeSend is called before answers and probes are sent, and told whether the
	// node's incarnation is final; it may be nil.
	BeforeSend func(announced bool)
	// OnPeerState is called with what another node says of itself; it may be nil.
	OnPeerState func(from anvilmember.MemberUpdate)
	// OnEvent is called with each change.
	OnEvent func(anvilmember.Event)
}

// Prober carries out what a membership asks for: it ticks it, sends its probes and
// answers those of other nodes. It is safe for concurrent use.
type Prober struct {
	config ProberConfig
	// answers holds the probes of other nodes that wait for an answer; the lock of
	// the configuration guards it.
	answers   map[uint64]chan anvilmember.Response
	lastToken uint64
}

// NewProber returns a Prober that does not tick yet.
func NewProber(c ProberConfig) *Prober {
	if c.BeforeTick == nil {
		c.BeforeTick = func() {}
	}
	if c.AfterUpdate == nil {
		c.AfterUpdate = func() {}
	}
	if c.BeforeSend == nil {
		c.BeforeSend = func(bool) {}
	}
	if c.OnPeerState == nil {
		c.OnPeerState = func(anvilmember.MemberUpdate) {}
	}
	return &Prober{
		config:  c,
		answers: make(map[uint64]chan anvilmember.Response),
	}
}

// Run ticks the membership until the background context ends.
func (p *Prober) Run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-p.config.Context.Done():
			return
		case <-timer.C:
		}
		p.config.BeforeTick()
		p.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
			m.Tick(now, a)
			timer.Reset(max(time.Until(m.Next()), time.Millisecond))
		})
	}
}

// Update calls the membership under its lock and carries out what it asks for.
func (p *Prober) Update(call func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions)) {
	actions := &anvilmember.Actions{}
	p.config.Lock.Lock()
	call(p.config.Membership, time.Now(), actions)
	p.config.AfterUpdate()
	announced := p.config.Membership.Announced()
	waiting := make([]chan anvilmember.Response, len(actions.Responses))
	for i, answer := range actions.Responses {
		waiting[i] = p.answers[answer.Token]
		delete(p.answers, answer.Token)
	}
	p.config.Lock.Unlock()
	p.config.BeforeSend(announced)
	for i, answer := range actions.Responses {
		if waiting[i] != nil {
			waiting[i] <- answer
		}
	}
	for _, probe := range actions.Probes {
		p.config.Go(func() { p.send(probe) })
	}
	for _, event := range actions.Events {
		p.config.OnEvent(event)
	}
}

func (p *Prober) send(probe anvilmember.Probe) {
	ctx, cancel := context.WithTimeout(p.config.Context, probe.Timeout)
	defer cancel()
	reply, err := p.config.Client.Probe(ctx, probe.Address, probe.Request)
	p.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		if err != nil {
			m.HandleProbeFailure(probe.ID, now, a)
			return
		}
		m.HandleProbeReply(probe.ID, reply, now, a)
	})
	if err == nil {
		p.config.OnPeerState(reply.From)
	}
}

// HandleProbe hands a probe of another node to the membership and waits for what it
// says; ok is false if it says nothing.
func (p *Prober) HandleProbe(ctx context.Context, q anvilmember.ProbeRequest) (reply anvilmember.ProbeReply, ok bool) {
	answer := make(chan anvilmember.Response, 1)
	var token uint64
	p.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		p.lastToken++
		token = p.lastToken
		p.answers[token] = answer
		m.HandleProbeRequest(token, q, now, a)
	})
	p.config.OnPeerState(q.From)
	select {
	case a := <-answer:
		return a.Reply, !a.Refused
	case <-ctx.Done():
	case <-p.config.Context.Done():
	}
	p.config.Lock.Lock()
	delete(p.answers, token)
	p.config.Lock.Unlock()
	return anvilmember.ProbeReply{}, false
}
