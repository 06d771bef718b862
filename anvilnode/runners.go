package anvilnode

import (
	"fmt"
	"time"

	"anvilbridge/anvilassign"
	"anvilbridge/anvilaudit"
	"anvilbridge/anvilconfig"
	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// assignmentSettle is the time within which a revision is in force everywhere;
// until then another node may still act on the previous assignment.
const assignmentSettle = 7 * time.Second

// applyRunners starts, changes and retires dispatchers after a change of the
// configuration.
func (n *Node) applyRunners(v *view) {
	assigned := make(map[anvilmodel.LeafName]bool)
	for _, a := range v.table.LeafsOf(n.config.Slot) {
		assigned[a.Leaf] = true
		n.applyRunner(v, a)
	}
	n.runnerLock.Lock()
	defer n.runnerLock.Unlock()
	for name, r := range n.runners {
		if assigned[name] {
			continue
		}
		delete(n.runners, name)
		n.retire(r)
	}
}

func (n *Node) applyRunner(v *view, a anvilassign.Assignment) {
	leaf, ok := v.settings.Leaf(a.Leaf)
	if !ok {
		return
	}
	out := v.isOut(leaf.FailureDomain)
	share := anvilleaf.Share{
		Connections: a.Candidate.Connections,
		Cold:        a.Candidate.ColdConcurrency,
		Settle:      assignmentSettle,
	}
	n.runnerLock.Lock()
	r, ok := n.runners[a.Leaf]
	if ok && r.leaf != leaf {
		// Another address is another process: its dispatcher starts afresh.
		n.retire(r)
		ok = false
	}
	if !ok {
		r = n.newLeafRunner(leaf, a.Candidate.Rank, leafConfig(v.settings, leaf, share))
		n.runners[a.Leaf] = r
	}
	n.runnerLock.Unlock()
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		actions = d.SetShare(share, now, actions)
		return d.SetOut(out, now, actions)
	})
}

func leafConfig(s *anvilconfig.Settings, leaf anvilmodel.Leaf, share anvilleaf.Share) anvilleaf.Config {
	service, _ := s.Service(leaf.Service)
	return anvilleaf.Config{
		Leaf:         leaf.Name,
		Slots:        service.Slots,
		Share:        share,
		ColdDuration: service.ColdDuration,
		QuietPeriod:  s.Policy.ColdQuietPeriod,
		QueuePerSlot: s.Policy.QueuePerSlot,
		ConnectTime:  service.ConnectTime,
	}
}

// retire stops new work of a dispatcher and ends it after the longest call that
// it may still be running.
func (n *Node) retire(r *leafRunner) {
	n.record(anvilaudit.Event{
		Kind:    anvilaudit.KindAssignmentMoved,
		Subject: string(r.leaf.Name),
		Cause:   fmt.Sprintf("slot %s is no longer a candidate", n.config.Slot),
	})
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.SetLeaving(true, now, actions)
	})
	n.goRun(func() {
		n.pause(n.longestTimeout())
		r.stop()
		n.upstream.Forget(r.leaf.Address)
	})
}

func (n *Node) longestTimeout() time.Duration {
	if v := n.view.Load(); v != nil {
		return v.settings.LongestTimeout()
	}
	return 0
}

func (n *Node) runner(leaf anvilmodel.LeafName) *leafRunner {
	n.runnerLock.RLock()
	defer n.runnerLock.RUnlock()
	return n.runners[leaf]
}

func (n *Node) allRunners() []*leafRunner {
	n.runnerLock.RLock()
	defer n.runnerLock.RUnlock()
	all := make([]*leafRunner, 0, len(n.runners))
	for _, r := range n.runners {
		all = append(all, r)
	}
	return all
}

func (n *Node) closeRunners() {
	for _, r := range n.allRunners() {
		r.stop()
	}
}

// setIsolated tells the dispatchers whether the node has lost touch with peers
// and platform.
func (n *Node) setIsolated(isolated bool) {
	for _, r := range n.allRunners() {
		r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
			return d.SetIsolated(isolated, now, actions)
		})
	}
}
