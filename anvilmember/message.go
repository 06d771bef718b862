package anvilmember

import "anvilbridge/anvilmodel"

// MemberUpdate describes one member: the sender's own entry or gossip about another.
//
// Empty addresses, slot and failure domain are not included. If Version is 0, Serving,
// Load, RequestRate, ConfigRevision, ConfigEra and TicketEpoch are not included either.
type MemberUpdate struct {
	Member anvilmodel.Member
	// Version orders the values of Serving, Load, RequestRate, ConfigRevision, ConfigEra and
	// TicketEpoch within an incarnation; a higher version is newer. It is the time since
	// the start of the member's process in units of versionUnit, counted from 1.
	Version uint32
	// Witnesses are the members that could not reach a suspected or dead member.
	Witnesses []anvilmodel.VMName
}

// ProbeRequest is sent to a node to check whether it answers.
type ProbeRequest struct {
	// From is the sender's own entry. Its incarnation is 0 until the sender has
	// announced itself.
	From MemberUpdate
	// Target is the member to probe on the sender's behalf; empty for a direct probe.
	Target  anvilmodel.VMName
	Updates []MemberUpdate
}

// ProbeReply is the reply to a ProbeRequest.
type ProbeReply struct {
	// From is the replying node's own entry.
	From MemberUpdate
	// Reached reports whether the target of an indirect probe replied.
	Reached bool
	Updates []MemberUpdate
}
