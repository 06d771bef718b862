package anvilnode

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilplatform"
	"anvilbridge/anvilrevision"
)

const (
	// watchTimeout is how long the configuration service holds a watch request open
	// while nothing changes.
	watchTimeout = 20 * time.Second
	// platformRetryInterval is the time between two attempts after a failed read, and
	// between two checks whether this node is a watcher.
	platformRetryInterval = time.Second
	// vmListIntervalPerMember is the minimum read interval per member of the fleet. It
	// limits the cost of a list of 410 VMs to about 300 bytes per second at each node.
	// Members also learn of each other by probes.
	vmListIntervalPerMember = 400 * time.Millisecond
)

// runConfigWatch watches the configuration service while this node is one of the
// watchers of its failure domain.
func (n *Node) runConfigWatch() {
	for n.ctx.Err() == nil {
		if !n.isWatcher() || !n.readConfig(n.readAfterVersion(), watchTimeout) {
			n.wait(platformRetryInterval)
		}
	}
}

// readAfterVersion returns the version after which the service is asked for changes.
func (n *Node) readAfterVersion() uint64 {
	n.controlLock.Lock()
	defer n.controlLock.Unlock()
	return n.revisions.ReadAfterVersion(time.Now())
}

func (n *Node) isWatcher() bool {
	candidates := []anvilmodel.VMName{n.config.Name}
	for _, m := range n.memberView.Load().all {
		if m.FailureDomain == n.config.FailureDomain && m.Name != n.config.Name && isAlive(m) {
			candidates = append(candidates, m.Name)
		}
	}
	return anvilrevision.ShouldWatch(n.config.Name, candidates)
}

// readConfig reads the configuration service and passes the result to the revision
// manager. It reports whether the service returned an acceptable reply.
func (n *Node) readConfig(after uint64, wait time.Duration) bool {
	sentAt := time.Now()
	read, err := n.platform.ReadConfig(n.ctx, after, wait)
	if err != nil {
		n.config.Log.Warn().Str("event", "config-read-failed").Err(err).Send()
		n.recordRefusedRead(err)
		return false
	}
	n.lastRefusedRead.Store("")
	n.recordPlatformReply(sentAt)
	if read.NotModified {
		n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
			return m.HandleNotModified(after, sentAt, now)
		})
		return true
	}
	documents := make([]anvilconfig.Document, 0, len(read.Documents))
	for _, d := range read.Documents {
		documents = append(documents, anvilconfig.Document{
			Name:    d.Name,
			Content: d.Content,
		})
	}
	n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.HandleDocuments(read.Version, documents, sentAt, now)
	})
	return true
}

// recordRefusedRead records an audit event for documents that are too large or
// malformed to be validated, unless the last one had the same cause. Other read errors
// say nothing about the documents.
func (n *Node) recordRefusedRead(err error) {
	if !errorx.IsOfType(err, anvilplatform.TooLarge) && !errorx.IsOfType(err, anvilplatform.Malformed) {
		return
	}
	cause := err.Error()
	if n.lastRefusedRead.Swap(cause) == cause {
		return
	}
	n.recordEvent(anvilaudit.Event{
		Kind:    anvilaudit.KindConfigRefused,
		Subject: string(n.config.Name),
		Cause:   cause,
	})
}

func (n *Node) recordPlatformReply(sentAt time.Time) {
	n.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.PlatformReplied(sentAt, now, a)
	})
}

// runVMListReads periodically reads the published VM list.
func (n *Node) runVMListReads() {
	for n.ctx.Err() == nil {
		n.readVMList()
		members := len(n.memberView.Load().all)
		n.wait(max(n.config.VMListInterval, time.Duration(members)*vmListIntervalPerMember))
	}
}

func (n *Node) readVMList() {
	ctx, cancel := context.WithTimeout(n.ctx, peerTimeout)
	defer cancel()
	sentAt := time.Now()
	listed, err := n.platform.ListVMs(ctx)
	if err != nil {
		n.config.Log.Warn().Str("event", "vm-list-read-failed").Err(err).Send()
		n.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
			m.SetVMListUnavailable(now, a)
		})
		return
	}
	n.recordPlatformReply(sentAt)
	n.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.SetVMList(listed, now, a)
	})
	var live, leaving []anvilmodel.VMName
	for _, vm := range listed {
		switch {
		case vm.Name == n.config.Name:
		case vm.Leaving:
			leaving = append(leaving, vm.Name)
		default:
			live = append(live, vm.Name)
		}
	}
	n.updateRevisions(func(m *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return m.SetVMList(live, leaving, now)
	})
}

// wait waits for a duration, or until the node stops.
func (n *Node) wait(d time.Duration) {
	sleep(n.ctx, d)
}
