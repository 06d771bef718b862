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
	// watchWait is how long the configuration service holds a watch open.
	watchTimeout = 20 * time.Second
	// platformRetry is the time between two tries of a failed read.
	platformRetryInterval = time.Second
	// listIntervalPerMember stretches the interval, so that a list of 410 VMs costs
	// a node about 300 bytes a second. Members hear of each other by probes too.
	vmListIntervalPerMember = 400 * time.Millisecond
)

// runWatch watches the configuration service while this node is one of the
// watchers of its failure domain.
func (n *Node) runConfigWatch() {
	for n.ctx.Err() == nil {
		if !n.isWatcher() || !n.readConfig(n.readAfterVersion(), watchTimeout) {
			n.wait(platformRetryInterval)
		}
	}
}

// readAfter returns the version for the next read of the service.
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

// readConfig reads the configuration service and offers what it returns. It
// reports whether the service answered.
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
		n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
			return k.HandleNotModified(after, sentAt, now)
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
	n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandleDocuments(read.Version, documents, sentAt, now)
	})
	return true
}

// recordUnreadable audits, once, documents that are too large or malformed to be
// judged. Other errors say nothing about the documents.
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

// runList reads the published list of VMs.
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
	n.updateRevisions(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.SetVMList(live, leaving, now)
	})
}

// pause waits, or less when the node stops.
func (n *Node) wait(d time.Duration) {
	sleep(n.ctx, d)
}
