package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// never marks a time that has not come yet; all times are counted from the
// construction of the Membership.
const never = time.Duration(-1 << 62)

// maxWitnesses limits the witnesses kept and passed on; two decide.
const maxWitnesses = 3

// record is what the node knows of another member.
type record struct {
	// member.Status is one of unheard, alive, suspect and dead. Leaving is kept
	// apart, because a leaving member can be suspected as well.
	member    anvilmodel.Member
	version   uint32
	witnesses []anvilmodel.VMName
	// suspectedAt is when this node first heard of the suspicion.
	suspectedAt time.Duration
	// deadAt is when this node began to count the member as dead.
	deadAt time.Duration
	// updatedAt is when something new was last heard of the living member.
	updatedAt time.Duration
	// reachedAt is when the member last answered this node.
	reachedAt time.Duration
	// versionEpoch estimates the local time at which the member's version was 0. It
	// tells how old a version is without comparing clocks.
	versionEpoch time.Duration
	// listEntry is the entry of the published list, if there is one.
	listEntry anvilmodel.ListedVM
	isListed  bool
	// leavingIncarnation is the incarnation that the list marks as leaving; 0 while the
	// incarnation is not known.
	leavingIncarnation anvilmodel.Incarnation
	listedAsLeaving    bool
	// announcedLeaving says that the member itself said so in this incarnation.
	announcedLeaving bool
	// replaced says that a later process has the slot or address. It is final for
	// the incarnation.
	replaced bool
	// unresponsive says that a member not heard of did not answer.
	unresponsive bool
	removed      bool
	// triedListAddress alternates between the announced and the listed address.
	triedListAddress bool
	pendingUpdate    updateKind
	// sendsLeft is how many more times the news is to be sent.
	sendsLeft uint8
	queued    bool
}

// status returns the judgement that others see.
func (r *record) status() anvilmodel.MemberStatus {
	s := r.member.Status
	if (s == anvilmodel.MemberAlive || s == anvilmodel.MemberSuspect) && r.isLeaving() {
		return anvilmodel.MemberLeaving
	}
	return s
}

// isLeaving reports whether the member said so or the list marks this incarnation.
func (r *record) isLeaving() bool {
	return r.announcedLeaving || r.listedAsLeaving && r.leavingIncarnation == r.member.Incarnation
}

// isLive reports whether the member counts as reachable by somebody.
func (r *record) isLive() bool {
	s := r.member.Status
	return s == anvilmodel.MemberAlive || s == anvilmodel.MemberSuspect
}

// inProbeRotation reports whether the member takes part in the inProbeRotation probing. The
// others are probed slowly.
func (r *record) inProbeRotation() bool {
	return r.isLive() || r.member.Status == anvilmodel.MemberUnknown && !r.unresponsive
}

// addWitness adds a witness and reports whether it is a new one.
func (r *record) addWitness(name anvilmodel.VMName) bool {
	if name == r.member.Name || len(r.witnesses) >= maxWitnesses || slices.Contains(r.witnesses, name) {
		return false
	}
	// A new slice, because items already handed out share the old one.
	r.witnesses = append(slices.Clone(r.witnesses), name)
	return true
}

// removeWitness removes a witness.
func (r *record) removeWitness(name anvilmodel.VMName) {
	if i := slices.Index(r.witnesses, name); i >= 0 {
		r.witnesses = slices.Delete(slices.Clone(r.witnesses), i, i+1)
	}
}

// isNewer reports whether the entry a belongs to a later process than b. Equal
// incarnations under different names are ordered by name.
func isNewer(a, b *anvilmodel.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Name > b.Name
}

// sharesSlotOrAddress reports whether two members claim the same slot or the same address.
func sharesSlotOrAddress(a, b *anvilmodel.Member) bool {
	if a.Slot != "" && a.Slot == b.Slot {
		return true
	}
	return a.PeerAddress.IsValid() && a.PeerAddress == b.PeerAddress
}
