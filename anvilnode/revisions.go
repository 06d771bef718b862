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
	// peerTimeout bounds a request to another node that is not a probe.
	peerTimeout = time.Second
	// revisionTick is the time between two ticks of the revision keeper.
	revisionTickInterval = 250 * time.Millisecond
)

// judge validates the documents of a revision.
func validateDocuments(documents []anvilconfig.Document) anvilrevision.Validation {
	release, findings := anvilconfig.LoadPublished(documents)
	return anvilrevision.Validation{
		Release:  release,
		Findings: findings,
	}
}

func (n *Node) runRevisionTicks() {
	ticker := time.NewTicker(revisionTickInterval)
	defer ticker.Stop()
	for {
		n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
			return k.Tick(now)
		})
		n.updateSelf()
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// withKeeper calls the revision keeper under its lock and carries out what it
// asks.
func (n *Node) updateRevisions(update func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action) {
	n.controlLock.Lock()
	actions := update(n.revisions, time.Now())
	n.controlLock.Unlock()
	for _, a := range actions {
		n.executeRevisionAction(a)
	}
}

func (n *Node) executeRevisionAction(a anvilrevision.Action) {
	switch a.Kind {
	case anvilrevision.ActionRunTask:
		n.startTask(func() { n.runValidation(a.Task) })
	case anvilrevision.ActionApply:
		n.applyRevision(a)
	case anvilrevision.ActionExchangeState:
		n.exchangeStates(a)
	case anvilrevision.ActionFetchManifest:
		n.startTask(func() { n.fetchManifest(a) })
	case anvilrevision.ActionFetchChunks:
		n.startTask(func() { n.fetchChunks(a) })
	case anvilrevision.ActionReadService:
		n.startTask(func() { n.readConfig(a.AfterVersion, 0) })
	case anvilrevision.ActionReportRefused:
		n.recordRefusedRevision(a)
	case anvilrevision.ActionReportStaleService:
		n.recordRevisionEvent(anvilaudit.KindConfigStale, a)
	case anvilrevision.ActionReportConflict:
		n.recordRevisionEvent(anvilaudit.KindConfigRefused, a)
	case anvilrevision.ActionReady:
		n.recordRevisionEvent(anvilaudit.KindNodeReady, a)
		n.updateSelf()
	}
}

func (n *Node) recordRevisionEvent(kind anvilaudit.Kind, a anvilrevision.Action) {
	n.recordEvent(anvilaudit.Event{
		Kind:     kind,
		Subject:  string(n.config.Name),
		Cause:    a.Cause,
		Revision: a.Revision.Version,
	})
}

func (n *Node) recordRefusedRevision(a anvilrevision.Action) {
	changes := make([]anvilaudit.Change, 0, len(a.Findings))
	for _, f := range a.Findings {
		changes = append(changes, anvilaudit.Change{
			Path: f.Path,
			Old:  "refused",
			New:  f.String(),
		})
	}
	n.recordEvent(anvilaudit.Event{
		Kind:     anvilaudit.KindConfigRefused,
		Subject:  string(n.config.Name),
		Cause:    a.Cause,
		Revision: a.Revision.Version,
		Changes:  changes,
	})
}

// runTask judges a revision without holding the control lock: 1 MB takes a
// quarter of a second, in which probes have to be answered.
func (n *Node) runValidation(t *anvilrevision.Task) {
	result := t.Run()
	n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandleTaskResult(result, now)
	})
}

// announce exchanges states with one named member, or with some drawn at random.
func (n *Node) exchangeStates(a anvilrevision.Action) {
	if a.Peer == "" {
		for _, m := range n.randomMembers(a.PeerCount) {
			n.startTask(func() { n.exchangeState(m.Name, m.PeerAddress) })
		}
		return
	}
	address, ok := n.peerAddress(a.Peer)
	if !ok {
		n.handleExchangeFailure(a.Peer)
		return
	}
	n.startTask(func() { n.exchangeState(a.Peer, address) })
}

func (n *Node) exchangeState(peer anvilmodel.VMName, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(n.ctx, peerTimeout)
	defer cancel()
	from := anvilmember.MemberUpdate{
		Member: anvilmodel.Member{
			Name: n.config.Name,
		},
	}
	state, err := n.peers.Announce(ctx, address, from, n.revisionState())
	if err != nil {
		n.handleExchangeFailure(peer)
		return
	}
	n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandlePeerState(peer, state, now)
	})
}

func (n *Node) handleExchangeFailure(peer anvilmodel.VMName) {
	n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandleExchangeFailure(peer, now)
	})
}

func (n *Node) revisionState() anvilrevision.State {
	n.controlLock.Lock()
	defer n.controlLock.Unlock()
	return n.revisions.State()
}

// answerAnnounce handles a peer's announcement.
func (n *Node) handleAnnounce(from anvilmember.MemberUpdate, s anvilrevision.State) anvilrevision.State {
	var state anvilrevision.State
	n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		state = k.State()
		return k.HandlePeerState(from.Member.Name, s, now)
	})
	return state
}

// heardRevision takes the revision that a probe or its reply carries.
func (n *Node) handlePeerRevision(from anvilmember.MemberUpdate) {
	if from.Version == 0 && from.Member.ConfigRevision == 0 {
		return
	}
	n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandleProbe(from.Member.Name, from.Member.ConfigRevision, from.Member.Serving, now)
	})
}

func (n *Node) fetchManifest(a anvilrevision.Action) {
	var manifest anvilrevision.Manifest
	n.fetchFromPeer(a, func(ctx context.Context, address netip.AddrPort) (err error) {
		manifest, err = n.peers.Manifest(ctx, address, a.Revision.Version)
		return err
	}, func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandleManifest(a.Peer, manifest, now)
	})
}

func (n *Node) fetchChunks(a anvilrevision.Action) {
	var chunks [][]byte
	n.fetchFromPeer(a, func(ctx context.Context, address netip.AddrPort) (err error) {
		chunks, err = n.peers.Chunks(ctx, address, a.Revision.Version, a.Chunks)
		return err
	}, func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandleChunks(a.Peer, a.Chunks, chunks, now)
	})
}

// fetch asks the peer of an action, and tells the keeper of the reply or that
// there was none.
func (n *Node) fetchFromPeer(a anvilrevision.Action, request func(context.Context, netip.AddrPort) error, handle func(*anvilrevision.Manager, time.Time) []anvilrevision.Action) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	address, ok := n.peerAddress(a.Peer)
	if !ok || request(ctx, address) != nil {
		handle = func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
			return k.HandleFetchFailure(a.Peer, now)
		}
	}
	n.updateRevisions(handle)
}

// randomMembers returns up to count members that can be reached.
func (n *Node) randomMembers(count int) []anvilmodel.Member {
	reachable := []anvilmodel.Member{}
	for _, m := range n.memberView.Load().all {
		if m.Name != n.config.Name && (isAlive(m) || m.Status == anvilmodel.MemberSuspect) {
			reachable = append(reachable, m)
		}
	}
	n.controlLock.Lock()
	n.random.Shuffle(len(reachable), func(i, j int) {
		reachable[i], reachable[j] = reachable[j], reachable[i]
	})
	n.controlLock.Unlock()
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
