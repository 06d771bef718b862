package anvilleaf

// revive takes a late answer on a connection that had been given up.
func (d *Dispatcher) revive(o *Outcome) {
	n := o.Connection
	if n < 1 || n >= len(d.connections) {
		return
	}
	c := &d.connections[n]
	if c.state != connectionStuck || c.call != o.Reply.ID {
		return
	}
	c.state = connectionIdle
	if o.Reply.Incarnation == 0 {
		d.close(n)
		return
	}
	d.observeReply(o, n)
	if d.surplus(c) {
		d.close(n)
	}
	d.checkSuspects()
}

// suspect counts a call or a cancellation that went unanswered.
func (d *Dispatcher) suspect(c *connection) {
	if c.timeouts == 0 {
		d.suspects++
		c.suspectSince = d.now
	}
	c.timeouts++
}

// clear takes the suspicion from a connection.
func (d *Dispatcher) clear(c *connection) {
	if c.timeouts > 0 {
		d.suspects--
	}
	c.timeouts = 0
}

// checkSuspects replaces silent connections. Without a reply on another
// connection to compare with, it asks for a fresh one.
func (d *Dispatcher) checkSuspects() {
	d.probeWanted = false
	if d.suspects == 0 {
		return
	}
	for n := range d.connections {
		c := &d.connections[n]
		if c.timeouts < silentTimeouts || (c.state != connectionIdle && c.state != connectionStuck) {
			continue
		}
		if !d.lastReplyAt.After(c.suspectSince) {
			d.probeWanted = true
			continue
		}
		d.counters.SilentConnections++
		d.audit(EventSilentConnection, "timeouts while another connection answers", n)
		d.close(n)
	}
}

// evict closes the connection that has been suspect for longest.
func (d *Dispatcher) evict() {
	if d.count(connectionClosing) > 0 {
		return
	}
	oldest := 0
	for n := range d.connections {
		c := &d.connections[n]
		if c.timeouts == 0 || (c.state != connectionIdle && c.state != connectionStuck) {
			continue
		}
		if oldest == 0 || c.suspectSince.Before(d.connections[oldest].suspectSince) {
			oldest = n
		}
	}
	if oldest != 0 {
		d.close(oldest)
	}
}
