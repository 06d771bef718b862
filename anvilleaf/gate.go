package anvilleaf

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// away reports whether the leaf takes no new calls for reasons other than its
// health.
func (d *Dispatcher) away() bool {
	return d.out || d.leaving || d.draining
}

// SetFailureDomainOut tells whether the leaf's failure domain is taken out. The leaf then
// gets no new call, and the waiting ones are refused; on return it is cold.
func (d *Dispatcher) SetFailureDomainOut(out bool, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.gate(&d.out, out)
	return d.leave()
}

// SetLeaving tells whether the leaf is listed as leaving. It has the effect of
// SetFailureDomainOut.
func (d *Dispatcher) SetLeaving(leaving bool, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.gate(&d.leaving, leaving)
	return d.leave()
}

// SetIsolated tells whether this node has heard from neither peers nor platform
// for too long. Nothing is then sent to a cold leaf. After a pause the
// dispatcher takes itself for isolated until it is told otherwise, so the node
// reports this at every tick, from what it has heard since the pause.
func (d *Dispatcher) SetIsolated(isolated bool, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.shrunk = d.shrunk || isolated != d.isolated
	d.isolated = isolated
	return d.leave()
}

// Reconfigure replaces the settings, the share among them, and keeps the state. A
// greater cold share begins a quiet period, because calls of the slot that had it
// may still be running.
func (d *Dispatcher) Reconfigure(c Config, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	share := c.Share
	c.Share = d.config.Share
	d.config = c.withDefaults()
	d.limit = min(d.limit, float64(d.config.MaxLimit))
	for d.queue.len() > d.config.queueSize() {
		e := d.queue.removeAt(d.queue.len() - 1)
		d.counters.Displaced++
		d.refuse(e)
	}
	d.setShare(share)
	return d.leave()
}

func (d *Dispatcher) setShare(s Share) {
	if s.ColdConcurrency > d.config.Share.ColdConcurrency {
		d.beQuiet(s.PropagationTime)
	}
	d.config.Share = s
	d.shrunk = true
	for len(d.connections) < s.callConnections()+1 {
		d.connections = append(d.connections, connection{})
	}
	d.closeSurplus()
}

// closeSurplus closes idle connections over the share, the longest unused first.
func (d *Dispatcher) closeSurplus() {
	excess := d.live - d.count(connectionClosing) - d.config.Share.callConnections()
	for ; excess > 0; excess-- {
		oldest := 0
		for n := range d.connections {
			if d.connections[n].state != connectionIdle {
				continue
			}
			if oldest == 0 || d.connections[oldest].better(&d.connections[n]) {
				oldest = n
			}
		}
		if oldest == 0 {
			return
		}
		d.close(oldest)
	}
}

// ObserveLeafState takes what the leaf's state endpoint says. It can make the leaf
// cold or draining; calls make it warm. A statement older than the calls that
// made the leaf warm does not make it cold again.
func (d *Dispatcher) ObserveLeafState(s anvilmodel.LeafState, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.observeState(s)
	return d.leave()
}

func (d *Dispatcher) observeState(s anvilmodel.LeafState) {
	if !d.observeIncarnation(s.Incarnation, time.Time{}) {
		return
	}
	saidAt := d.now.Add(-s.Age)
	if saidAt.After(d.loadAt) {
		d.load = s.Load
		d.loadAt = saidAt
		d.holdings = append(d.holdings[:0], s.Holdings...)
	}
	if s.Cold && saidAt.After(d.judgement.warmAt) {
		d.claimCold("its state endpoint says so")
	}
	switch {
	case s.Draining:
		d.setDraining(saidAt)
	case d.draining && saidAt.After(d.drainingAt):
		d.gate(&d.draining, false)
	}
}

// setDraining stops new calls because the leaf said at the given time that it
// is draining.
func (d *Dispatcher) setDraining(saidAt time.Time) {
	if saidAt.After(d.drainingAt) {
		d.drainingAt = saidAt
	}
	if !d.draining {
		d.audit(EventDraining, "the leaf says so", 0)
	}
	d.gate(&d.draining, true)
}

// gate sets one of the reasons for being away. A leaf that is no longer away
// has been idle and counts as cold.
func (d *Dispatcher) gate(reason *bool, value bool) {
	was := d.away()
	*reason = value
	if was == d.away() {
		return
	}
	d.shrunk = true
	if was {
		d.judgement.freshAt = d.now
		d.makeCold("it returned", true)
	}
}

// ObservePeerState takes another candidate's view of the leaf. It counts for the
// same incarnation only, and only if it rests on later evidence than this
// node's own. A higher incarnation makes the leaf cold at once.
func (d *Dispatcher) ObservePeerState(s anvilmodel.LeafState, now time.Time, actions []Action) []Action {
	d.enter(now, actions)
	d.expire()
	d.adopt(s)
	return d.leave()
}

func (d *Dispatcher) adopt(s anvilmodel.LeafState) {
	if !d.observeIncarnation(s.Incarnation, time.Time{}) {
		return
	}
	j := &d.judgement
	judgedAt := d.now.Add(-s.Age)
	if !judgedAt.After(j.judgedAt) || d.breaker.open {
		return
	}
	if s.Cold && !j.cold {
		d.makeCold("another candidate says so", true)
		j.judgedAt = judgedAt
	}
	if !s.Cold && j.cold {
		d.makeWarm("another candidate says so", judgedAt)
	}
}

// LeafState returns this node's judgement for other candidates; Age is that of
// the evidence. It returns false if the leaf counts as cold only because this
// node does not know it.
func (d *Dispatcher) LeafState(now time.Time) (anvilmodel.LeafState, bool) {
	j := &d.judgement
	if j.judgedAt.IsZero() {
		return anvilmodel.LeafState{}, false
	}
	return anvilmodel.LeafState{
		Leaf:        d.config.Leaf,
		Incarnation: j.incarnation,
		Cold:        j.cold,
		Draining:    d.draining,
		Load:        d.load,
		Holdings:    slices.Clone(d.holdings),
		Age:         max(now.Sub(j.judgedAt), 0),
	}, true
}
