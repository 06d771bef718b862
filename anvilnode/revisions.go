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
	// peerTimeout is the timeout of a request to another node other than a probe, of a
	// read of a leaf's state and of a read of the VM list.
	peerTimeout = time.Second
	// revisionTickInterval is the time between two ticks of the revision manager.
	revisionTickInterval = 250 * time.Millisecond
)

// validateDocuments validates the documents of a revision.
func validateDocuments(documents []anvilconfig.Document) anvilrevision.Validation {
	configuration, findings := anvilconfig.LoadPublished(documents)
	return anvilrevision.Validation{
		Configuration: configuration,
		Findings:      findings,
	}
}

func (n *Node) runRevisionTicks() {
	ticker := time.NewTicker(revisionTickInterval)
	defer ticker.Stop()
	for {
		n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
			return m.Tick(now)
		})
		n.updateSelf()
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateRevisions calls the revision manager under controlLock and executes the
// returned actions after releasing it.
func (n *Node) updateRevisions(update func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action) {
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

// runValidation validates a revision without holding controlLock. Documents of 1 MB
// take a quarter of a second, in which probes have to be answered.
func (n *Node) runValidation(t *anvilrevision.Task) {
	result := t.Run()
	n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.HandleTaskResult(result, now)
	})
}

// exchangeStates exchanges revision states with a given member, or with members chosen
// at random.
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
	n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.HandlePeerState(peer, state, now)
	})
}

func (n *Node) handleExchangeFailure(peer anvilmodel.VMName) {
	n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.HandleExchangeFailure(peer, now)
	})
}

func (n *Node) revisionState() anvilrevision.State {
	n.controlLock.Lock()
	defer n.controlLock.Unlock()
	return n.revisions.State()
}

// handleAnnounce handles the revision state that another node announces and returns
// this node's state.
func (n *Node) handleAnnounce(from anvilmember.MemberUpdate, s anvilrevision.State) anvilrevision.State {
	var state anvilrevision.State
	n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		state = m.State()
		return m.HandlePeerState(from.Member.Name, s, now)
	})
	return state
}

// handlePeerRevision handles the revision that a probe or its reply carries.
func (n *Node) handlePeerRevision(from anvilmember.MemberUpdate) {
	if from.Version == 0 && from.Member.ConfigRevision == 0 {
		return
	}
	n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.HandleProbe(from.Member.Name, from.Member.ConfigRevision, from.Member.Serving, now)
	})
}

func (n *Node) fetchManifest(a anvilrevision.Action) {
	var manifest anvilrevision.Manifest
	n.fetchFromPeer(a, func(ctx context.Context, address netip.AddrPort) (err error) {
		manifest, err = n.peers.Manifest(ctx, address, a.Revision.Version)
		return err
	}, func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.HandleManifest(a.Peer, manifest, now)
	})
}

func (n *Node) fetchChunks(a anvilrevision.Action) {
	var chunks [][]byte
	n.fetchFromPeer(a, func(ctx context.Context, address netip.AddrPort) (err error) {
		chunks, err = n.peers.Chunks(ctx, address, a.Revision.Version, a.Chunks)
		return err
	}, func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.HandleChunks(a.Peer, a.Chunks, chunks, now)
	})
}

// fetchFromPeer sends a request to the peer of an action and passes the reply, or the
// failure, to the revision manager.
func (n *Node) fetchFromPeer(a anvilrevision.Action, request func(context.Context, netip.AddrPort) error, handle func(*anvilrevision.Manager, time.Time) []anvilrevision.Action) {
	ctx, cancel := context.WithTimeout(n.ctx, a.Timeout)
	defer cancel()
	address, ok := n.peerAddress(a.Peer)
	if !ok || request(ctx, address) != nil {
		handle = func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
			return m.HandleFetchFailure(a.Peer, now)
		}
	}
	n.updateRevisions(handle)
}

// randomMembers returns up to count other members that are alive or suspect, in random
// order.
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
