package anvilnode

import (
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmetric"
)

// recordEvent adds an event to the audit ring. It sets the time, and the active
// revision if the event names none.
func (n *Node) recordEvent(e anvilaudit.Event) {
	e.Time = time.Now()
	if e.Revision == 0 {
		if active := n.activeConfig.Load(); active != nil {
			e.Revision = active.revision.Version
		}
	}
	n.auditLock.Lock()
	n.auditRing.Add(e)
	n.auditLock.Unlock()
	n.metrics.Add(anvilmetric.AuditEvents, 1, string(e.Kind))
}

// logAudit logs an event in one line, including every changed field.
func (n *Node) logAudit(e anvilaudit.Event) {
	event := n.config.Log.Info().
		Str("event", "audit").
		Str("kind", string(e.Kind)).
		Str("subject", e.Subject).
		Str("cause", e.Cause).
		Uint64("revision", e.Revision)
	if len(e.Changes) > 0 {
		changes := make([]string, 0, len(e.Changes))
		for _, c := range e.Changes {
			changes = append(changes, c.Path+": "+c.Old+" -> "+c.New)
		}
		event = event.Strs("changes", changes)
	}
	event.Send()
}
