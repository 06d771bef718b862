package anvilleaf

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// outOfService reports whether the leaf takes no new calls for reasons other
// than its health.
func (d *Dispatcher) outOfService() bool {
	return d.domainOut || d.leaving || d.draining
}

// SetFailureDomainOut sets whether the leaf's failure domain is out. The leaf
// then gets no new calls, and the waiting ones are refused. When it returns, it
// is cold.
func (d *Dispatcher) SetFailureDomainOut(out bool, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.setServiceFlag(&d.domainOut, out)
	return d.endEvent()
}

// SetLeaving sets whether the leaf is listed as leaving. It has the same effect
// as SetFailureDomainOut.
func (d *Dispatcher) SetLeaving(leaving bool, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.setServiceFlag(&d.leaving, leaving)
	return d.endEvent()
}

// SetIsolated sets whether this node has heard from neither peers nor the
// platform for too long. Nothing is then sent to a cold leaf. After a pause the
// dispatcher assumes that it is isolated until told otherwise, so the node
// reports this at every tick, based on what it has heard since the pause.
func (d *Dispatcher) SetIsolated(isolated bool, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.recheckQueue = d.recheckQueue || isolated != d.isolated
	d.isolated = isolated
	return d.endEvent()
}

// Reconfigure replaces the settings, including the share, and keeps the state.
// An increase of the cold concurrency starts a quiet period, because calls of
// the slot that had it before may still be running.
func (d *Dispatcher) Reconfigure(c Config, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	share := c.Share
	c.Share = d.config.Share
	d.config = c.withDefaults()
	d.limit = min(d.limit, float64(d.config.MaxLimit))
	for d.queue.len() > d.config.maxQueueLength() {
		e := d.queue.removeAt(d.queue.len() - 1)
		d.counters.Displaced++
		d.refuseCall(e)
	}
	d.setShare(share)
	return d.endEvent()
}

func (d *Dispatcher) setShare(s Share) {
	if s.ColdConcurrency > d.config.Share.ColdConcurrency {
		d.startQuietPeriod(s.PropagationTime)
	}
	d.config.Share = s
	d.recheckQueue = true
	for len(d.connections) < s.maxCallConnections()+1 {
		d.connections = append(d.connections, connection{})
	}
	d.closeExcessConnections()
}

// closeExcessConnections closes idle connections in excess of the share, the
// least preferred first.
func (d *Dispatcher) closeExcessConnections() {
	excess := d.connectionCount - d.countConnections(connectionClosing) - d.config.Share.maxCallConnections()
	for ; excess > 0; excess-- {
		leastPreferred := 0
		for n := range d.connections {
			if d.connections[n].state != connectionIdle {
				continue
			}
			if leastPreferred == 0 || d.connections[leastPreferred].preferredOver(&d.connections[n]) {
				leastPreferred = n
			}
		}
		if leastPreferred == 0 {
			return
		}
		d.closeConnection(leastPreferred)
	}
}

// ObserveLeafState handles a state that was read from the leaf's state
// endpoint. It can make the leaf cold or draining, but not warm. A report that
// is older than the calls that made the leaf warm does not make it cold again.
func (d *Dispatcher) ObserveLeafState(s anvilmodel.LeafState, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.observeLeafState(s)
	return d.endEvent()
}

func (d *Dispatcher) observeLeafState(s anvilmodel.LeafState) {
	if !d.observeIncarnation(s.Incarnation, time.Time{}) {
		return
	}
	reportedAt := d.now.Add(-s.Age)
	if reportedAt.After(d.loadReportedAt) {
		d.load = s.Load
		d.loadReportedAt = reportedAt
		d.holdings = append(d.holdings[:0], s.Holdings...)
	}
	if s.Cold && reportedAt.After(d.health.warmAt) {
		d.handleColdReport("the state endpoint of the leaf reports it as cold")
	}
	switch {
	case s.Draining:
		d.setDraining(reportedAt)
	case d.draining && reportedAt.After(d.drainingReportedAt):
		d.setServiceFlag(&d.draining, false)
	}
}

// setDraining stops new calls because the leaf reported at the given time that
// it is draining.
func (d *Dispatcher) setDraining(reportedAt time.Time) {
	if reportedAt.After(d.drainingReportedAt) {
		d.drainingReportedAt = reportedAt
	}
	if !d.draining {
		d.recordEvent(EventDraining, "the leaf reports that it is draining", 0)
	}
	d.setServiceFlag(&d.draining, true)
}

// setServiceFlag sets one of the flags that take the leaf out of service. A
// leaf that returns to service has been idle and counts as cold.
func (d *Dispatcher) setServiceFlag(flag *bool, value bool) {
	wasOutOfService := d.outOfService()
	*flag = value
	if wasOutOfService == d.outOfService() {
		return
	}
	d.recheckQueue = true
	if wasOutOfService {
		d.health.coldDurationStart = d.now
		d.markCold("the leaf returned to service", true)
	}
}

// ObservePeerState handles the state that another candidate derived for the
// leaf. It applies to the same incarnation only, and only if its evidence is
// more recent than this node's own. A higher incarnation makes the leaf cold at
// once.
func (d *Dispatcher) ObservePeerState(s anvilmodel.LeafState, now time.Time, actions []Action) []Action {
	d.beginEvent(now, actions)
	d.processDeadlines()
	d.observePeerState(s)
	return d.endEvent()
}

func (d *Dispatcher) observePeerState(s anvilmodel.LeafState) {
	if !d.observeIncarnation(s.Incarnation, time.Time{}) {
		return
	}
	h := &d.health
	evidenceAt := d.now.Add(-s.Age)
	if !evidenceAt.After(h.evidenceAt) || d.breaker.open {
		return
	}
	if s.Cold && !h.cold {
		d.markCold("another candidate reports the leaf as cold", true)
		h.evidenceAt = evidenceAt
	}
	if !s.Cold && h.cold {
		d.markWarm("another candidate reports the leaf as warm", evidenceAt)
	}
}

// LeafState returns the state that this node derived, for other candidates; Age
// is the age of the evidence. It returns false if the leaf counts as cold only
// because this node has no evidence.
func (d *Dispatcher) LeafState(now time.Time) (anvilmodel.LeafState, bool) {
	h := &d.health
	if h.evidenceAt.IsZero() {
		return anvilmodel.LeafState{}, false
	}
	return anvilmodel.LeafState{
		Leaf:        d.config.Leaf,
		Incarnation: h.incarnation,
		Cold:        h.cold,
		Draining:    d.draining,
		Load:        d.load,
		Holdings:    slices.Clone(d.holdings),
		Age:         max(now.Sub(h.evidenceAt), 0),
	}, true
}
