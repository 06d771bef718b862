package anvilnode

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilrevision"
)

const (
	// announceCount is the number of peers told at once of a new revision.
	announceCount = 4
	// peerTimeout bounds a request to another node that is not a probe.
	peerTimeout = time.Second
	// revisionTick is the time between two ticks of the revision keeper.
	revisionTick = 250 * time.Millisecond
)

// judge validates the documents of a revision.
func judge(documents []anvilconfig.Document) anvilrevision.Judgement {
	release, findings := anvilconfig.LoadPublished(documents)
	return anvilrevision.Judgement{
		Release:  release,
		Findings: findings,
	}
}

func (n *Node) runRevisions() {
	ticker := time.NewTicker(revisionTick)
	defer ticker.Stop()
	for {
		n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
			return k.Tick(now)
		})
		n.updateSelf()
		select {
		case <-n.background.Done():
			return
		case <-ticker.C:
		}
	}
}

// withKeeper calls the revision keeper under its lock and carries out what it
// asks.
func (n *Node) withKeeper(call func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action) {
	n.control.Lock()
	actions := call(n.keeper, time.Now())
	n.control.Unlock()
	for _, a := range actions {
		n.carryOutRevision(a)
	}
}

func (n *Node) carryOutRevision(a anvilrevision.Action) {
	switch a.Kind {
	case anvilrevision.ActionApply:
		n.apply(a)
	case anvilrevision.ActionAnnounce:
		n.announce(a.Revision)
	case anvilrevision.ActionFetchManifest:
		n.goRun(func() { n.fetchManifest(a.Peer) })
	case anvilrevision.ActionFetchChunks:
		n.goRun(func() { n.fetchChunks(a) })
	case anvilrevision.ActionRead:
		n.goRun(func() { n.readConfig(0, 0) })
	case anvilrevision.ActionRefused:
		n.recordRefused(a)
	case anvilrevision.ActionStale:
		n.recordRevision(anvilaudit.KindConfigStale, a)
	case anvilrevision.ActionConflict:
		n.recordRevision(anvilaudit.KindConfigRefused, a)
	case anvilrevision.ActionReady:
		n.recordRevision(anvilaudit.KindNodeReady, a)
		n.updateSelf()
	}
}

func (n *Node) recordRevision(kind anvilaudit.Kind, a anvilrevision.Action) {
	n.record(anvilaudit.Event{
		Kind:     kind,
		Subject:  string(n.config.Name),
		Cause:    a.Cause,
		Revision: a.Revision.Version,
	})
}

func (n *Node) recordRefused(a anvilrevision.Action) {
	changes := make([]anvilaudit.Change, 0, len(a.Findings))
	for _, f := range a.Findings {
		changes = append(changes, anvilaudit.Change{
			Path: f.Path,
			Old:  "refused",
			New:  f.String(),
		})
	}
	n.record(anvilaudit.Event{
		Kind:     anvilaudit.KindConfigRefused,
		Subject:  string(n.config.Name),
		Cause:    a.Cause,
		Revision: a.Revision.Version,
		Changes:  changes,
	})
}

// announce tells a few members of the revision in force. Every node that
// accepts it does the same, so that it reaches the fleet in a few rounds.
func (n *Node) announce(revision anvilrevision.Revision) {
	for _, m := range n.randomMembers(announceCount) {
		n.goRun(func() {
			ctx, cancel := context.WithTimeout(n.background, peerTimeout)
			defer cancel()
			from := anvilmember.Item{
				Member: n.memberView.Load().self,
			}
			version, err := n.peers.Announce(ctx, m.PeerAddress, from, revision)
			if err != nil {
				return
			}
			n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
				return k.Heard(m.Name, version, m.Serving, now)
			})
		})
	}
}

// answerAnnounce handles a peer's announcement.
func (n *Node) answerAnnounce(from anvilmember.Item, version uint64) uint64 {
	var inForce uint64
	n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
		inForce = k.InForce().Version
		return k.Heard(from.Member.Name, version, from.Member.Serving, now)
	})
	return inForce
}

// heardRevision takes the revision that a probe or its reply carries.
func (n *Node) heardRevision(from anvilmember.Item) {
	if from.Version == 0 && from.Member.Revision == 0 {
		return
	}
	n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
		return k.Heard(from.Member.Name, from.Member.Revision, from.Member.Serving, now)
	})
}

func (n *Node) fetchManifest(peer anvilmodel.VMName) {
	ctx, cancel := context.WithTimeout(n.background, peerTimeout)
	defer cancel()
	address, ok := n.peerAddress(peer)
	if !ok {
		n.fetchFailed(peer)
		return
	}
	manifest, err := n.peers.Manifest(ctx, address)
	if err != nil {
		n.fetchFailed(peer)
		return
	}
	n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
		return k.HandleManifest(peer, manifest, now)
	})
}

func (n *Node) fetchChunks(a anvilrevision.Action) {
	ctx, cancel := context.WithTimeout(n.background, peerTimeout)
	defer cancel()
	address, ok := n.peerAddress(a.Peer)
	if !ok {
		n.fetchFailed(a.Peer)
		return
	}
	chunks, err := n.peers.Chunks(ctx, address, a.Revision.Version, a.Chunks)
	if err != nil {
		n.fetchFailed(a.Peer)
		return
	}
	n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
		return k.HandleChunks(a.Peer, chunks, now)
	})
}

func (n *Node) fetchFailed(peer anvilmodel.VMName) {
	n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
		return k.HandleFetchFailure(peer, now)
	})
}

// randomMembers returns up to count members that can be reached.
func (n *Node) randomMembers(count int) []anvilmodel.Member {
	reachable := []anvilmodel.Member{}
	for _, m := range n.memberView.Load().all {
		if m.Name != n.config.Name && (usable(m) || m.Status == anvilmodel.MemberSuspect) {
			reachable = append(reachable, m)
		}
	}
	n.control.Lock()
	n.random.Shuffle(len(reachable), func(i, j int) {
		reachable[i], reachable[j] = reachable[j], reachable[i]
	})
	n.control.Unlock()
	return slices.Clip(reachable[:min(count, len(reachable))])
}

func (n *Node) peerAddress(name anvilmodel.VMName) (netip.AddrPort, bool) {
	for _, m := range n.memberView.Load().all {
		if m.Name == name {
			return m.PeerAddress, m.PeerAddress.IsValid()
		}
	}
	return netip.AddrPort{}, false
}
