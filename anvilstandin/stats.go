package anvilstandin

import (
	"maps"

	"anvilbridge/anvilmodel"
)

// Stats counts what a leaf has seen since it was made or since ResetStats.
type Stats struct {
	// Calls counts the calls received, Executed those that began to run.
	Calls, Executed, Completed int
	// Shed, Cancelled, Expired and SnapshotGone count the other ends of calls.
	Shed, Cancelled, Expired, SnapshotGone int
	// CallsWhileDraining and CallsWhileOut count the calls received in these states.
	CallsWhileDraining, CallsWhileOut int
	// Peak is the highest number of calls running and waiting.
	Peak int
	// ColdPeak is the same while the leaf was cold, and ColdViolations counts
	// the calls that arrived above what the cold leaf can bear.
	ColdPeak, ColdViolations int
	// StateReads counts the reads of the state endpoint.
	StateReads int
	// ConnectionsOpen is the present number, ConnectionsPeak the highest. These
	// four belong to the time since the last start.
	ConnectionsOpen, ConnectionsOpened, ConnectionsRefused, ConnectionsPeak int
}

// Stats returns the counts.
func (u *Upstream) Stats() Stats {
	u.mu.Lock()
	s := u.stats
	u.mu.Unlock()
	u.server.connections().counts(&s)
	return s
}

// ResetStats sets the counts of calls to zero.
func (u *Upstream) ResetStats() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats = Stats{}
}

// Execution identifies what may run at most once: a ticket on one shard.
type Execution struct {
	Ticket  anvilmodel.Ticket
	Request anvilmodel.RequestID
	Shard   anvilmodel.Shard
}

// Executions returns how often calls with a ticket began to run.
func (u *Upstream) Executions() map[Execution]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.executions)
}
