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
	// origin estimates the local time at which the member's version was 0. It
	// tells how old a version is without comparing clocks.
	origin time.Duration
	// listed is the entry of the published list, if there is one.
	listed   anvilmodel.ListedVM
	isListed bool
	// listedLeaving is the incarnation that the list marks as leaving; 0 while the
	// incarnation is not known.
	listedLeaving anvilmodel.Incarnation
	markedLeaving bool
	// leaving says that the member itself said so in this incarnation.
	leaving bool
	// replaced says that a later process has the slot or address. It is final for
	// the incarnation.
	replaced bool
	// failed says that a member not heard of did not answer.
	failed  bool
	removed bool
	// triedListed alternates between the announced and the listed address.
	triedListed bool
	news        newsKind
	// newsLeft is how many more times the news is to be sent.
	newsLeft   uint8
	newsQueued bool
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
	return r.leaving || r.markedLeaving && r.listedLeaving == r.member.Incarnation
}

// living reports whether the member counts as reachable by somebody.
func (r *record) living() bool {
	s := r.member.Status
	return s == anvilmodel.MemberAlive || s == anvilmodel.MemberSuspect
}

// regular reports whether the member takes part in the regular probing. The
// others are probed slowly.
func (r *record) regular() bool {
	return r.living() || r.member.Status == anvilmodel.MemberUnknown && !r.failed
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

// dropWitness removes a witness.
func (r *record) dropWitness(name anvilmodel.VMName) {
	if i := slices.Index(r.witnesses, name); i >= 0 {
		r.witnesses = slices.Delete(slices.Clone(r.witnesses), i, i+1)
	}
}

// newer reports whether the entry a belongs to a later process than b. Equal
// incarnations under different names are ordered by name.
func newer(a, b *anvilmodel.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Name > b.Name
}

// sameSeat reports whether two members claim the same slot or the same address.
func sameSeat(a, b *anvilmodel.Member) bool {
	if a.Slot != "" && a.Slot == b.Slot {
		return true
	}
	return a.PeerAddress.IsValid() && a.PeerAddress == b.PeerAddress
}
