package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// silentTimeouts in a row on one connection, with a reply on another one
	// since, are enough to replace it.
	silentTimeouts = 2
	// openFactor times the usual connect time is too long for a connection.
	openFactor = 10
	openLeast  = 100 * time.Millisecond
	// openBackoffGreatest bounds the time between attempts to connect.
	openBackoffGreatest = time.Second
)

type connectionState int

const (
	connectionAbsent connectionState = iota
	connectionOpening
	connectionIdle
	connectionBusy
	// connectionStuck carries a call that was given up without a reply.
	connectionStuck
	connectionClosing
)

// connection is one numbered connection to the leaf.
type connection struct {
	state connectionState
	// incarnation is the process that it leads to, 0 while it is not known.
	incarnation anvilmodel.Incarnation
	openedAt    time.Time
	openBy      time.Time
	usedAt      time.Time
	// crossed is set once it has answered as another incarnation than before.
	crossed bool
	// replied is set once a call was answered over it.
	replied bool
	// timeouts counts calls and cancellations in a row without an answer.
	timeouts     int
	suspectSince time.Time
	// call is the last call that it carried.
	call anvilmodel.CallID
}

// usable reports whether a call may be started on c. A connection of unknown
// incarnation may lead to a process that has just started, so such calls are
// bounded as those to a cold leaf are.
func (d *Dispatcher) usable(c *connection) bool {
	if c.state != connectionIdle {
		return false
	}
	if c.incarnation != 0 {
		return true
	}
	if d.isolated || d.now.Before(d.quietUntil) {
		return false
	}
	return d.unconfirmed < d.config.Share.ColdConcurrency
}

// pick returns the idle connection to use next, 0 if there is none. One that
// answered its last call goes first, then the most recently used.
func (d *Dispatcher) pick() int {
	best := 0
	for n := range d.connections {
		c := &d.connections[n]
		if !d.usable(c) {
			continue
		}
		if best == 0 || c.better(&d.connections[best]) {
			best = n
		}
	}
	return best
}

func (c *connection) better(o *connection) bool {
	if c.timeouts != o.timeouts {
		return c.timeouts < o.timeouts
	}
	return c.usedAt.After(o.usedAt)
}

// provision opens the connections that the waiting calls need, and one ahead
// when all are busy and the limit allows another call.
func (d *Dispatcher) provision() {
	need := 0
	if demand := d.queue.len() + min(len(d.running), 1); demand > 0 {
		need = min(d.headroom(), demand) - d.count(connectionIdle) - d.count(connectionOpening)
	}
	if d.probeWanted && !d.away() && need < 1 && d.count(connectionOpening) == 0 {
		need = 1
	}
	for ; need > 0; need-- {
		if !d.open() {
			return
		}
	}
}

func (d *Dispatcher) count(s connectionState) int {
	total := 0
	for n := range d.connections {
		if d.connections[n].state == s {
			total++
		}
	}
	return total
}

// open asks for one more connection. With the share used up it gives up the
// connection that has been suspect for longest instead.
func (d *Dispatcher) open() bool {
	if d.now.Before(d.openRetryAt) {
		d.wakeAt(d.openRetryAt)
		return false
	}
	if d.live >= d.config.Share.callConnections() {
		d.evict()
		return false
	}
	n := 1
	for d.connections[n].state != connectionAbsent {
		n++
	}
	d.live++
	d.connections[n] = connection{
		state:    connectionOpening,
		openedAt: d.now,
		openBy:   d.now.Add(max(openFactor*d.config.ConnectTime, openLeast)),
	}
	d.wakeAt(d.connections[n].openBy)
	d.actions = append(d.actions, Action{
		Kind:       ActionOpen,
		Connection: n,
	})
	return true
}

// close asks for the end of a connection. It counts until ConnectionClosed is reported.
func (d *Dispatcher) close(n int) {
	c := &d.connections[n]
	d.clear(c)
	c.state = connectionClosing
	d.actions = append(d.actions, Action{
		Kind:       ActionClose,
		Connection: n,
	})
}

// closeIdle closes the idle connections before a probe of the breaker. They may
// have gone silent together with those that failed, and a fresh one has not.
func (d *Dispatcher) closeIdle() {
	for n := range d.connections {
		if d.connections[n].state == connectionIdle {
			d.close(n)
		}
	}
}

// opened takes a new connection into use. A state read over it proves that the
// leaf answers on a fresh connection.
func (d *Dispatcher) opened(n int, i anvilmodel.Incarnation) {
	if n < 1 || n >= len(d.connections) || d.connections[n].state != connectionOpening {
		return
	}
	c := &d.connections[n]
	c.state = connectionIdle
	c.usedAt = d.now
	d.openBackoff = 0
	if i != 0 {
		c.incarnation = i
		d.lastReplyAt = d.now
		d.observeIncarnation(i, c.openedAt)
		d.checkSuspects()
	}
	if d.surplus(c) {
		d.close(n)
	}
}

// surplus reports whether an idle connection is not to be kept.
func (d *Dispatcher) surplus(c *connection) bool {
	if c.crossed || d.live > d.config.Share.callConnections() {
		return true
	}
	return c.incarnation != 0 && c.incarnation != d.judgement.incarnation
}

// closed takes the end of a connection. A call still on it is broken.
func (d *Dispatcher) closed(n int) {
	if n < 1 || n >= len(d.connections) || d.connections[n].state == connectionAbsent {
		return
	}
	c := &d.connections[n]
	state := c.state
	id := c.call
	d.clear(c)
	d.live--
	*c = connection{}
	switch state {
	case connectionOpening:
		d.openFailed()
	case connectionBusy:
		d.settle(&Outcome{
			Reply: anvilmodel.CallReply{
				ID:     id,
				Result: anvilmodel.CallBroken,
			},
			Connection: n,
			Written:    true,
		})
	}
}

// openFailed counts a connection that could not be opened as a failed call.
func (d *Dispatcher) openFailed() {
	d.openBackoff = min(max(2*d.openBackoff, d.config.ConnectTime), openBackoffGreatest)
	d.openRetryAt = d.now.Add(d.openBackoff)
	d.wakeAt(d.openRetryAt)
	d.fail("no connection")
}

// expireOpenings gives up connections that take too long to open.
func (d *Dispatcher) expireOpenings() {
	for n := range d.connections {
		c := &d.connections[n]
		if c.state != connectionOpening {
			continue
		}
		if d.paused {
			c.openBy = d.now.Add(openLeast)
		}
		if d.now.Before(c.openBy) {
			d.wakeAt(c.openBy)
			continue
		}
		d.close(n)
		d.openFailed()
	}
	if d.now.Before(d.openRetryAt) {
		d.wakeAt(d.openRetryAt)
	}
}

// freeConnection gives back the connection of a call that is over.
func (d *Dispatcher) freeConnection(e *entry, o *Outcome, answered bool) {
	c := &d.connections[e.connection]
	if c.state != connectionBusy {
		return
	}
	c.state = connectionIdle
	c.usedAt = d.now
	if !answered && o.Reply.Result == anvilmodel.CallTimeout {
		d.suspect(c)
	}
	if o.ConnectionLost || o.Reply.Result == anvilmodel.CallBroken || d.surplus(c) {
		d.close(e.connection)
	}
	d.checkSuspects()
}
