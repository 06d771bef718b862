package anvilmember

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// never is the time of an event that has not happened yet. All times are durations since
// the construction of the Membership.
const never = time.Duration(-1 << 62)

// maxWitnesses limits the witnesses kept and sent per member; two are enough to declare
// it dead.
const maxWitnesses = 3

// record is this node's state of another member.
type record struct {
	// member.Status is unknown, alive, suspect or dead. Leaving is kept separately,
	// because a leaving member can also be suspected.
	member anvilmodel.Member
	// version is the version of the state in member.
	version   uint32
	witnesses []anvilmodel.VMName
	// suspectedAt is when the suspicion started for this node.
	suspectedAt time.Duration
	// deadAt is when the status became dead.
	deadAt time.Duration
	// updatedAt is when new state of the live member was last received.
	updatedAt time.Duration
	// reachedAt is when the member last replied to this node.
	reachedAt time.Duration
	// versionEpoch estimates the local time at which the member's version was 0. It
	// gives the age of a version without comparing clocks.
	versionEpoch time.Duration
	// listEntry is the last entry of the member in the published VM list. isListed is
	// true if the current list has one.
	listEntry anvilmodel.ListedVM
	isListed  bool
	// leavingIncarnation is the incarnation that the list marks as leaving, 0 if it is
	// not known yet.
	leavingIncarnation anvilmodel.Incarnation
	listedAsLeaving    bool
	// announcedLeaving is true once this incarnation announced its shutdown.
	announcedLeaving bool
	// replaced is true once a later process has the slot or address. It is final for
	// the incarnation.
	replaced bool
	// unresponsive is true if a member with unknown status did not answer a probe or
	// was reported dead without enough evidence.
	unresponsive bool
	removed      bool
	// refused is true if no process accepted the connection of this node's last probe.
	refused bool
	// triedListAddress is true if probeAddress returned the listed address last.
	triedListAddress bool
	pendingUpdate    updateKind
	// sendsLeft is how many more times pendingUpdate is to be sent.
	sendsLeft uint8
	// queued is true while the record is in the update queue.
	queued bool
}

// status returns the member's status including leaving.
func (r *record) status() anvilmodel.MemberStatus {
	status := r.member.Status
	if (status == anvilmodel.MemberAlive || status == anvilmodel.MemberSuspect) && r.isLeaving() {
		return anvilmodel.MemberLeaving
	}
	return status
}

// isLeaving reports whether the member announced its shutdown or the VM list marks this
// incarnation as leaving.
func (r *record) isLeaving() bool {
	return r.announcedLeaving || r.listedAsLeaving && r.leavingIncarnation == r.member.Incarnation
}

// isLive reports whether the member is alive or suspected.
func (r *record) isLive() bool {
	status := r.member.Status
	return status == anvilmodel.MemberAlive || status == anvilmodel.MemberSuspect
}

// inProbeRotation reports whether the member is probed in the round robin. Other members
// are probed by probeDead only.
func (r *record) inProbeRotation() bool {
	return r.isLive() || r.member.Status == anvilmodel.MemberUnknown && !r.unresponsive
}

// addWitness adds a witness and reports whether it was added.
func (r *record) addWitness(name anvilmodel.VMName) bool {
	if name == r.member.Name || len(r.witnesses) >= maxWitnesses || slices.Contains(r.witnesses, name) {
		return false
	}
	// Updates and events already created share the old slice, so it must not change.
	r.witnesses = append(slices.Clone(r.witnesses), name)
	return true
}

func (r *record) isWitness(name anvilmodel.VMName) bool {
	return slices.Contains(r.witnesses, name)
}

func (r *record) removeWitness(name anvilmodel.VMName) {
	if i := slices.Index(r.witnesses, name); i >= 0 {
		r.witnesses = slices.Delete(slices.Clone(r.witnesses), i, i+1)
	}
}

// isNewer reports whether a is a later process than b. Equal incarnations of different
// members are ordered by name.
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
