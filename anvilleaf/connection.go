package anvilleaf

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// silentTimeoutThreshold consecutive timeouts on a connection cause its
	// replacement, if another connection has received a reply since the first
	// of them.
	silentTimeoutThreshold = 2
	// openTimeoutFactor times the usual connect time, but at least
	// minOpenTimeout, is the time limit for opening a connection.
	openTimeoutFactor = 10
	minOpenTimeout    = 100 * time.Millisecond
	// maxOpenBackoff bounds the time between attempts to connect.
	maxOpenBackoff = time.Second
)

type connectionState int

const (
	connectionAbsent connectionState = iota
	connectionOpening
	connectionIdle
	connectionBusy
	// connectionStuck carries a call that was abandoned without a reply.
	connectionStuck
	connectionClosing
)

// connection is one numbered connection to the leaf.
type connection struct {
	state connectionState
	// incarnation identifies the leaf process at the other end, 0 while it is
	// unknown.
	incarnation  anvilmodel.Incarnation
	openedAt     time.Time
	openDeadline time.Time
	lastUsedAt   time.Time
	// incarnationChanged is set once a reply came from another incarnation than
	// the connection's.
	incarnationChanged bool
	// hasReplied is set once the leaf has answered a call over it.
	hasReplied bool
	// consecutiveTimeouts counts consecutive calls and cancellations without an
	// answer.
	consecutiveTimeouts int
	suspectSince        time.Time
	// lastCall is the last call that was sent over it.
	lastCall anvilmodel.CallID
}

// usable reports whether a call may be started on c. A connection of unknown
// incarnation may lead to a process that has just started, so calls on such
// connections are bounded like those to a cold leaf.
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
	return d.unknownIncarnationCalls < d.config.Share.ColdConcurrency
}

// selectConnection returns the idle connection to use next, 0 if there is none.
// It prefers connections with the fewest consecutive timeouts, then the most
// recently used.
func (d *Dispatcher) selectConnection() int {
	best := 0
	for n := range d.connections {
		c := &d.connections[n]
		if !d.usable(c) {
			continue
		}
		if best == 0 || c.preferredOver(&d.connections[best]) {
			best = n
		}
	}
	return best
}

func (c *connection) preferredOver(other *connection) bool {
	if c.consecutiveTimeouts != other.consecutiveTimeouts {
		return c.consecutiveTimeouts < other.consecutiveTimeouts
	}
	return c.lastUsedAt.After(other.lastUsedAt)
}

// openNeededConnections opens the connections that the waiting calls need, and
// one in advance if all are busy and the limit allows another call.
func (d *Dispatcher) openNeededConnections() {
	need := 0
	if demand := d.queue.len() + min(len(d.running), 1); demand > 0 {
		need = min(d.headroom(), demand) - d.countConnections(connectionIdle) - d.countConnections(connectionOpening)
	}
	if d.testConnectionNeeded && !d.outOfService() && need < 1 && d.countConnections(connectionOpening) == 0 {
		need = 1
	}
	for ; need > 0; need-- {
		if !d.openConnection() {
			return
		}
	}
}

func (d *Dispatcher) countConnections(s connectionState) int {
	total := 0
	for n := range d.connections {
		if d.connections[n].state == s {
			total++
		}
	}
	return total
}

// openConnection requests a new connection. If the share is used up, it closes
// the connection that has been suspect for longest instead.
func (d *Dispatcher) openConnection() bool {
	if d.now.Before(d.openRetryAt) {
		d.scheduleWake(d.openRetryAt)
		return false
	}
	if d.connectionCount >= d.config.Share.maxCallConnections() {
		d.closeOldestSuspect()
		return false
	}
	n := 1
	for d.connections[n].state != connectionAbsent {
		n++
	}
	d.connectionCount++
	d.connections[n] = connection{
		state:        connectionOpening,
		openedAt:     d.now,
		openDeadline: d.now.Add(max(openTimeoutFactor*d.config.ConnectTime, minOpenTimeout)),
	}
	d.scheduleWake(d.connections[n].openDeadline)
	d.actions = append(d.actions, Action{
		Kind:       ActionOpen,
		Connection: n,
	})
	return true
}

// closeConnection requests the end of a connection, which counts against the
// share until ConnectionClosed is reported.
func (d *Dispatcher) closeConnection(n int) {
	c := &d.connections[n]
	d.clearTimeouts(c)
	c.state = connectionClosing
	d.actions = append(d.actions, Action{
		Kind:       ActionClose,
		Connection: n,
	})
}

// closeIdleConnections closes the idle connections before a probe of the
// circuit breaker. They may have gone silent together with those that failed,
// unlike a new connection.
func (d *Dispatcher) closeIdleConnections() {
	for n := range d.connections {
		if d.connections[n].state == connectionIdle {
			d.closeConnection(n)
		}
	}
}

// handleOpened makes a new connection available for calls. A state read over it
// proves that the leaf answers on a new connection.
func (d *Dispatcher) handleOpened(n int, incarnation anvilmodel.Incarnation) {
	if n < 1 || n >= len(d.connections) || d.connections[n].state != connectionOpening {
		return
	}
	c := &d.connections[n]
	c.state = connectionIdle
	c.lastUsedAt = d.now
	d.openBackoff = 0
	if incarnation != 0 {
		c.incarnation = incarnation
		d.lastReplyAt = d.now
		d.observeIncarnation(incarnation, c.openedAt)
		d.replaceSilentConnections()
	}
	if d.shouldClose(c) {
		d.closeConnection(n)
	}
}

// shouldClose reports whether an idle connection must be closed.
func (d *Dispatcher) shouldClose(c *connection) bool {
	if c.incarnationChanged || d.connectionCount > d.config.Share.maxCallConnections() {
		return true
	}
	return c.incarnation != 0 && c.incarnation != d.health.incarnation
}

// handleClosed removes a closed connection. A call still running on it is
// broken.
func (d *Dispatcher) handleClosed(n int) {
	if n < 1 || n >= len(d.connections) || d.connections[n].state == connectionAbsent {
		return
	}
	c := &d.connections[n]
	state := c.state
	id := c.lastCall
	d.clearTimeouts(c)
	d.connectionCount--
	*c = connection{}
	switch state {
	case connectionOpening:
		d.handleOpenFailure()
	case connectionBusy:
		d.finishCall(&Outcome{
			Reply: anvilmodel.CallReply{
				ID:     id,
				Result: anvilmodel.CallBroken,
			},
			Connection: n,
			Written:    true,
		})
	}
}

// handleOpenFailure counts a connection that could not be opened as a failed call.
func (d *Dispatcher) handleOpenFailure() {
	d.openBackoff = min(max(2*d.openBackoff, d.config.ConnectTime), maxOpenBackoff)
	d.openRetryAt = d.now.Add(d.openBackoff)
	d.scheduleWake(d.openRetryAt)
	d.recordFailure("connection could not be opened")
}

// expireConnectAttempts closes connections that take too long to open.
func (d *Dispatcher) expireConnectAttempts() {
	for n := range d.connections {
		c := &d.connections[n]
		if c.state != connectionOpening {
			continue
		}
		if d.afterPause {
			c.openDeadline = d.now.Add(minOpenTimeout)
		}
		if d.now.Before(c.openDeadline) {
			d.scheduleWake(c.openDeadline)
			continue
		}
		d.closeConnection(n)
		d.handleOpenFailure()
	}
	if d.now.Before(d.openRetryAt) {
		d.scheduleWake(d.openRetryAt)
	}
}

// releaseConnection releases the connection of a finished call.
func (d *Dispatcher) releaseConnection(e *callEntry, o *Outcome, answered bool) {
	c := &d.connections[e.connection]
	if c.state != connectionBusy {
		return
	}
	c.state = connectionIdle
	c.lastUsedAt = d.now
	if !answered && o.Reply.Result == anvilmodel.CallTimeout {
		d.recordUnanswered(c)
	}
	if o.ConnectionLost || o.Reply.Result == anvilmodel.CallBroken || d.shouldClose(c) {
		d.closeConnection(e.connection)
	}
	d.replaceSilentConnections()
}
