package anvilmember

import "anvilbridge/anvilmodel"

// MemberUpdate is a statement about one member: the member's own entry, or news.
//
// Empty addresses, slot and failure domain mean "not included". Version 0 means
// that Serving, Load, Revision and TicketEpoch are not included.
type MemberUpdate struct {
	Member anvilmodel.Member
	// Version grows with each change of Serving, Load, Revision and TicketEpoch
	// within an incarnation.
	Version uint32
	// Witnesses are the members that failed to reach a suspect or dead member.
	Witnesses []anvilmodel.VMName
}

// ProbeRequest is what one node sends to another to learn whether it answers.
type ProbeRequest struct {
	// From is the sender's own entry. Its incarnation is 0 while the sender has
	// not announced itself.
	From MemberUpdate
	// Target is the member to probe on the sender's behalf; empty for a direct probe.
	Target  anvilmodel.VMName
	Updates []MemberUpdate
}

// ProbeReply answers a ProbeRequest.
type ProbeReply struct {
	// From is the answering node's own entry.
	From MemberUpdate
	// Reached says whether the target of an indirect probe answered.
	Reached bool
	Updates []MemberUpdate
}
