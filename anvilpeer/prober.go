package anvilpeer

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"anvilbridge/anvilmember"
)

// ProberConfig holds the settings of a Prober. Functions must be set unless stated
// otherwise.
type ProberConfig struct {
	Membership *anvilmember.Membership
	// Lock guards Membership. It may guard more state of the owner.
	Lock   sync.Locker
	Client *Client
	// Context ends Run and cancels outstanding probes.
	Context context.Context
	// Go runs a task in a goroutine that the owner waits for.
	Go func(task func())
	// BeforeTick is called before each tick of the membership; it may be nil.
	BeforeTick func()
	// AfterUpdate is called with Lock held after each call of the membership; it may
	// be nil.
	AfterUpdate func()
	// BeforeSend is called before replies and probes are sent, with whether this node's
	// incarnation is final; it may be nil.
	BeforeSend func(announced bool)
	// OnPeerState is called with the state that another node reports of itself; it may
	// be nil.
	OnPeerState func(from anvilmember.MemberUpdate)
	// OnEvent is called with each membership event.
	OnEvent func(anvilmember.Event)
}

// Prober drives a membership: it calls its ticks, sends its probes, and replies to the
// probes of other nodes. It is safe for concurrent use.
type Prober struct {
	config ProberConfig
	// pending holds the probes of other nodes that wait for a reply, by token. It is
	// guarded by the lock of the configuration.
	pending   map[uint64]chan anvilmember.Response
	lastToken uint64
}

// NewProber returns a Prober that does not tick until Run is called.
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
		pending: make(map[uint64]chan anvilmember.Response),
	}
}

// Run calls the ticks of the membership until the context ends.
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

// Update calls the function with the membership and its lock held, and carries out the
// resulting actions.
func (p *Prober) Update(call func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions)) {
	actions := &anvilmember.Actions{}
	p.config.Lock.Lock()
	call(p.config.Membership, time.Now(), actions)
	p.config.AfterUpdate()
	announced := p.config.Membership.Announced()
	waiters := make([]chan anvilmember.Response, len(actions.Responses))
	for i, response := range actions.Responses {
		waiters[i] = p.pending[response.Token]
		delete(p.pending, response.Token)
	}
	p.config.Lock.Unlock()
	p.config.BeforeSend(announced)
	for i, response := range actions.Responses {
		if waiters[i] != nil {
			waiters[i] <- response
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
			m.HandleProbeFailure(probe.ID, errors.Is(err, syscall.ECONNREFUSED), now, a)
			return
		}
		m.HandleProbeReply(probe.ID, reply, now, a)
	})
	if err == nil {
		p.config.OnPeerState(reply.From)
	}
}

// HandleProbe passes a probe of another node to the membership and waits for its
// reply; ok is false if there is none.
func (p *Prober) HandleProbe(ctx context.Context, request anvilmember.ProbeRequest) (reply anvilmember.ProbeReply, ok bool) {
	responses := make(chan anvilmember.Response, 1)
	var token uint64
	p.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		p.lastToken++
		token = p.lastToken
		p.pending[token] = responses
		m.HandleProbeRequest(token, request, now, a)
	})
	p.config.OnPeerState(request.From)
	select {
	case response := <-responses:
		return response.Reply, !response.Refused
	case <-ctx.Done():
	case <-p.config.Context.Done():
	}
	p.config.Lock.Lock()
	delete(p.pending, token)
	p.config.Lock.Unlock()
	return anvilmember.ProbeReply{}, false
}
