package anvilnode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilrevision"
)

const (
	// watchWait is how long the configuration service holds a watch open.
	watchWait = 20 * time.Second
	// watchersPerDomain is the number of nodes of a failure domain that watch
	// the configuration service.
	watchersPerDomain = 3
	// platformRetry is the time between two tries of a failed read.
	platformRetry = time.Second
	// listIntervalPerMember keeps the fleet's reads of the VM list below 20 a
	// second, far under the service's 2,000.
	listIntervalPerMember = 50 * time.Millisecond
)

// runWatch watches the configuration service while this node is one of the
// watchers of its failure domain.
func (n *Node) runWatch() {
	var after uint64
	for n.background.Err() == nil {
		if !n.watches() {
			n.pause(platformRetry)
			continue
		}
		version, ok := n.readConfig(after, watchWait)
		if !ok {
			n.pause(platformRetry)
			continue
		}
		after = max(after, version)
	}
}

// watches reports whether this node ranks among the watchers of its failure
// domain. Nodes with different views may have more or fewer watchers for a
// while, which costs a few reads or is covered by reads of silent nodes.
func (n *Node) watches() bool {
	type ranked struct {
		name anvilmodel.VMName
		rank uint64
	}
	candidates := []ranked{}
	for _, m := range n.memberView.Load().all {
		if m.FailureDomain != n.config.FailureDomain || (m.Name != n.config.Name && !usable(m)) {
			continue
		}
		candidates = append(candidates, ranked{
			name: m.Name,
			rank: xxhash.Sum64String("watch/" + string(m.Name)),
		})
	}
	slices.SortFunc(candidates, func(r, s ranked) int { return cmp.Compare(r.rank, s.rank) })
	for _, c := range candidates[:min(watchersPerDomain, len(candidates))] {
		if c.name == n.config.Name {
			return true
		}
	}
	return len(candidates) == 0
}

// readConfig reads the configuration service and offers what it returns. It
// returns the version read.
func (n *Node) readConfig(after uint64, wait time.Duration) (uint64, bool) {
	sent := time.Now()
	read, err := n.platform.ReadConfig(n.background, after, wait)
	if err != nil {
		n.config.Log.Warn().Str("event", "config-read-failed").Err(err).Send()
		return 0, false
	}
	n.heardPlatform(sent)
	if read.NotModified {
		return after, true
	}
	documents := make([]anvilconfig.Document, 0, len(read.Documents))
	for _, d := range read.Documents {
		documents = append(documents, anvilconfig.Document{
			Name:    d.Name,
			Content: d.Content,
		})
	}
	n.withKeeper(func(k *anvilrevision.Keeper, now time.Time) []anvilrevision.Action {
		return k.Offer(read.Version, documents, anvilrevision.Source{}, now)
	})
	return read.Version, true
}

func (n *Node) heardPlatform(sent time.Time) {
	n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.PlatformHeard(sent, now, a)
	})
}

// runList reads the published list of VMs.
func (n *Node) runList() {
	for n.background.Err() == nil {
		n.readList()
		members := len(n.memberView.Load().all)
		n.pause(max(n.config.ListInterval, time.Duration(members)*listIntervalPerMember))
	}
}

func (n *Node) readList() {
	ctx, cancel := context.WithTimeout(n.background, peerTimeout)
	defer cancel()
	sent := time.Now()
	listed, err := n.platform.ListVMs(ctx)
	if err != nil {
		n.config.Log.Warn().Str("event", "vm-list-read-failed").Err(err).Send()
		n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
			m.SetListUnavailable(now, a)
		})
		return
	}
	n.heardPlatform(sent)
	n.withMembers(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.SetList(listed, now, a)
	})
	others := []anvilmodel.VMName{}
	for _, vm := range listed {
		if vm.Name != n.config.Name && !vm.Leaving {
			others = append(others, vm.Name)
		}
	}
	n.withKeeper(func(k *anvilrevision.Keeper, _ time.Time) []anvilrevision.Action {
		return k.SetListed(others)
	})
}

// pause waits, or less when the node stops.
func (n *Node) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.background.Done():
	}
}
