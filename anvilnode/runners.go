package anvilnode

import (
	"context"
	"fmt"
	"time"

	"anvilbridge/anvilassign"
	"anvilbridge/anvilaudit"
	"anvilbridge/anvilconfig"
	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// assignmentSettleTime is the time within which a revision becomes active at all nodes.
// Until then, other nodes may still act on the previous assignment.
const assignmentSettleTime = 7 * time.Second

// retirePollInterval is the time between two checks whether a retired dispatcher has
// pending calls.
const retirePollInterval = 250 * time.Millisecond

// configureRunners starts, reconfigures and retires dispatchers after a change of the
// configuration.
func (n *Node) configureRunners(active *activeConfig) {
	assigned := make(map[anvilmodel.LeafName]bool)
	retired := []*leafRunner{}
	for _, a := range active.assignments.AssignmentsOf(n.config.Slot) {
		assigned[a.Leaf] = true
		if old := n.configureRunner(active, a); old != nil {
			retired = append(retired, old)
		}
	}
	n.runnerLock.Lock()
	for name, r := range n.runners {
		if !assigned[name] {
			delete(n.runners, name)
			retired = append(retired, r)
		}
	}
	for _, r := range retired {
		n.retiredRunners[r] = struct{}{}
	}
	n.runnerLock.Unlock()
	for _, r := range retired {
		n.retire(r)
	}
	n.applyCount.Add(1)
	select {
	case n.exchangeNow <- struct{}{}:
	default:
	}
}

// configureRunner starts or reconfigures the dispatcher of a leaf. It returns the
// runner that is replaced, or nil.
func (n *Node) configureRunner(active *activeConfig, a anvilassign.Assignment) *leafRunner {
	leaf, ok := active.settings.Leaf(a.Leaf)
	if !ok {
		return nil
	}
	config := leafConfig(active.settings, leaf, anvilleaf.Share{
		Connections:     a.Candidate.Connections,
		ColdConcurrency: a.Candidate.ColdConcurrency,
		PropagationTime: assignmentSettleTime,
	})
	n.runnerLock.Lock()
	defer n.runnerLock.Unlock()
	r, old := n.runners[a.Leaf], (*leafRunner)(nil)
	if r != nil && r.leaf != leaf {
		// A leaf at another address is another process, so it gets a new dispatcher.
		r, old = nil, r
	}
	if r == nil {
		initial := config
		if n.applyCount.Load() > 0 {
			// Another node may still use the share of cold concurrency that an earlier
			// revision gave it. The dispatcher starts without a share and gets one
			// after a quiet period.
			initial.Share.ColdConcurrency = 0
		}
		r = n.newLeafRunner(leaf, initial)
		n.runners[a.Leaf] = r
	}
	r.candidateRank.Store(int32(a.Candidate.Rank))
	config.Audit = r.recordEvent
	out := active.isOut(leaf.FailureDomain)
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		actions = d.Reconfigure(config, now, actions)
		return d.SetFailureDomainOut(out, now, actions)
	})
	return old
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

// retire stops new calls to a dispatcher. It ends the dispatcher when no calls are
// pending, or after the longest timeout of a call.
func (n *Node) retire(r *leafRunner) {
	n.recordEvent(anvilaudit.Event{
		Kind:    anvilaudit.KindAssignmentMoved,
		Subject: string(r.leaf.Name),
		Cause:   fmt.Sprintf("slot %s is no longer a candidate for the leaf at %s", n.config.Slot, r.leaf.Address),
	})
	r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
		return d.SetLeaving(true, now, actions)
	})
	n.startTask(func() { n.waitForRetired(r) })
}

func (n *Node) waitForRetired(r *leafRunner) {
	ctx, cancel := context.WithTimeout(n.ctx, n.longestTimeout())
	defer cancel()
	// The first wait lets calls arrive that were already on their way to the
	// dispatcher.
	sleep(ctx, retirePollInterval)
	for r.unanswered.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, retirePollInterval)
	}
	r.cancel()
	n.runnerLock.Lock()
	delete(n.retiredRunners, r)
	n.runnerLock.Unlock()
	// The nodes that dispatch for the leaf now may not have fetched the state that this
	// dispatcher derived.
	n.wait(assignmentSettleTime)
	if n.runner(r.leaf.Name) == nil {
		n.states.Delete(r.leaf.Name)
	}
}

func (n *Node) longestTimeout() time.Duration {
	if active := n.activeConfig.Load(); active != nil {
		return active.settings.LongestClassTimeout()
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

// pendingCalls returns the number of calls that the node's dispatchers have not replied
// to, including retired dispatchers.
func (n *Node) pendingCalls() int {
	n.runnerLock.RLock()
	defer n.runnerLock.RUnlock()
	count := int64(0)
	for _, r := range n.runners {
		count += r.unanswered.Load()
	}
	for r := range n.retiredRunners {
		count += r.unanswered.Load()
	}
	return int(count)
}

// setIsolated informs the dispatchers whether the node has lost contact to its peers
// and the platform.
func (n *Node) setIsolated(isolated bool) {
	for _, r := range n.allRunners() {
		r.post(func(d *anvilleaf.Dispatcher, now time.Time, actions []anvilleaf.Action) []anvilleaf.Action {
			return d.SetIsolated(isolated, now, actions)
		})
	}
}
