package anvilleaf

// handleLateReply handles a reply to a call that was abandoned, on the
// connection that carried it.
func (d *Dispatcher) handleLateReply(o *Outcome) {
	n := o.Connection
	if n < 1 || n >= len(d.connections) {
		return
	}
	c := &d.connections[n]
	if c.state != connectionStuck || c.lastCall != o.Reply.ID {
		return
	}
	c.state = connectionIdle
	if o.Reply.Incarnation == 0 {
		d.closeConnection(n)
		return
	}
	d.observeReply(o, n)
	if d.shouldClose(c) {
		d.closeConnection(n)
	}
	d.replaceSilentConnections()
}

// recordUnanswered counts a call or a cancellation that was not answered.
func (d *Dispatcher) recordUnanswered(c *connection) {
	if c.consecutiveTimeouts == 0 {
		d.suspectCount++
		c.suspectSince = d.now
	}
	c.consecutiveTimeouts++
}

// clearTimeouts resets the unanswered calls of a connection.
func (d *Dispatcher) clearTimeouts(c *connection) {
	if c.consecutiveTimeouts > 0 {
		d.suspectCount--
	}
	c.consecutiveTimeouts = 0
}

// replaceSilentConnections closes silent connections. Without a reply on
// another connection to compare with, it requests a new one.
func (d *Dispatcher) replaceSilentConnections() {
	d.testConnectionNeeded = false
	if d.suspectCount == 0 {
		return
	}
	for n := range d.connections {
		c := &d.connections[n]
		if c.consecutiveTimeouts < silentTimeoutThreshold || (c.state != connectionIdle && c.state != connectionStuck) {
			continue
		}
		if !d.lastReplyAt.After(c.suspectSince) {
			d.testConnectionNeeded = true
			continue
		}
		d.counters.SilentConnections++
		d.recordEvent(EventSilentConnection, "consecutive timeouts while another connection answers", n)
		d.closeConnection(n)
	}
}

// closeOldestSuspect closes the connection that has been suspect for longest.
func (d *Dispatcher) closeOldestSuspect() {
	if d.countConnections(connectionClosing) > 0 {
		return
	}
	oldest := 0
	for n := range d.connections {
		c := &d.connections[n]
		if c.consecutiveTimeouts == 0 || (c.state != connectionIdle && c.state != connectionStuck) {
			continue
		}
		if oldest == 0 || c.suspectSince.Before(d.connections[oldest].suspectSince) {
			oldest = n
		}
	}
	if oldest != 0 {
		d.closeConnection(oldest)
	}
}
