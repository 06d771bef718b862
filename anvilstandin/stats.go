package anvilstandin

import (
	"maps"

	"anvilbridge/anvilmodel"
)

// Stats holds the counters of a leaf since it was created or since ResetStats.
type Stats struct {
	// Calls counts the calls received, Executed those that were started and
	// Completed those that succeeded.
	Calls, Executed, Completed int
	// Shed, Cancelled, Expired and SnapshotGone count the calls that ended in
	// another way; Expired counts timeouts.
	Shed, Cancelled, Expired, SnapshotGone int
	// CallsWhileDraining counts the calls received while the leaf was draining, and
	// CallsWhileOut those received while its failure domain was out.
	CallsWhileDraining, CallsWhileOut int
	// Peak is the maximum number of calls in flight, running and queued.
	Peak int
	// ColdPeak is the same for the time while the leaf was cold. ColdViolations
	// counts the calls that arrived while a cold leaf had ColdConcurrency calls or
	// more in flight.
	ColdPeak, ColdViolations int
	// StateReads counts the requests to the state endpoint.
	StateReads int
	// ConnectionsOpen is the current number of connections, ConnectionsPeak the
	// maximum. These four are counted from the last start of the leaf.
	ConnectionsOpen, ConnectionsOpened, ConnectionsRefused, ConnectionsPeak int
}

// Stats returns the counters of the leaf.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	s := u.stats
	u.mu.Unlock()
	u.server.currentListener().fillStats(&s)
	return s
}

// ResetStats resets all counters except those of connections.
func (u *Upstream) ResetStats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats = Stats{}
}

// Execution identifies a call that may run at most once: that of a ticket to a
// shard.
type Execution struct {
	Ticket  anvilmodel.Ticket
	Request anvilmodel.RequestID
	Shard   anvilmodel.Shard
}

// Executions returns how often calls with a ticket were started.
func (u *Upstream) Executions() map[Execution]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executions)
}
