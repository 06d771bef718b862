// Package anvilaudit records configuration changes, and state changes that a node makes
// or detects without an operator, in an audit trail.
package anvilaudit

import "time"

// Kind identifies the type of an event.
type Kind string

// Kinds of events.
const (
	KindConfigAccepted    Kind = "config-accepted"
	KindConfigRefused     Kind = "config-refused"
	KindConfigStale       Kind = "config-stale"
	KindMemberJoined      Kind = "member-joined"
	KindMemberSuspected   Kind = "member-suspected"
	KindMemberDead        Kind = "member-dead"
	KindMemberLeaving     Kind = "member-leaving"
	KindMemberRefuted     Kind = "member-refuted"
	KindMemberReplaced    Kind = "member-replaced"
	KindDomainOut         Kind = "failure-domain-out"
	KindDomainReturned    Kind = "failure-domain-returned"
	KindAssignmentMoved   Kind = "assignment-moved"
	KindLeafCold          Kind = "leaf-cold"
	KindLeafWarm          Kind = "leaf-warm"
	KindLeafBreakerOpen   Kind = "leaf-breaker-open"
	KindLeafBreakerClosed Kind = "leaf-breaker-closed"
	KindLeafReplaced      Kind = "leaf-replaced"
	KindLeafDraining      Kind = "leaf-draining"
	KindConnectionSilent  Kind = "connection-silent"
	KindNodeAnnounced     Kind = "node-announced"
	KindNodeReady         Kind = "node-ready"
	KindNodeLeaving       Kind = "node-leaving"
	KindNodeSuperseded    Kind = "node-superseded"
	KindProcessPaused     Kind = "process-paused"
)

// Change is the change of a single configuration field.
type Change struct {
	Path string
	Old  string
	New  string
}

// Event is an entry of the audit trail.
type Event struct {
	Time time.Time
	Kind Kind
	// Subject is the name of the member, leaf or failure domain concerned.
	Subject string
	Cause   string
	// Revision is the store version of the active configuration.
	Revision uint64
	Changes  []Change
}
