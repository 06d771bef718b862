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
	watchWait = 20 * time.Second
	// platformRetry is the time between two tries of a failed read.
	platformRetry = time.Second
	// listIntervalPerMember stretches the interval, so that a list of 410 VMs costs
	// a node about 300 bytes a second. Members hear of each other by probes too.
	listIntervalPerMember = 400 * time.Millisecond
)

// runWatch watches the configuration service while this node is one of the
// watchers of its failure domain.
func (n *Node) runWatch() {
	for n.background.Err() == nil {
		if !n.watches() || !n.readConfig(n.readAfter(), watchWait) {
			n.pause(platformRetry)
		}
	}
}

// readAfter returns the version for the next read of the service.
func (n *Node) readAfter() uint64 {
	n.control.Lock()
	defer n.control.Unlock()
	return n.keeper.ReadAfterVersion(time.Now())
}

func (n *Node) watches() bool {
	domain := []anvilmodel.VMName{n.config.Name}
	for _, m := range n.memberView.Load().all {
		if m.FailureDomain == n.config.FailureDomain && m.Name != n.config.Name && usable(m) {
			domain = append(domain, m.Name)
		}
	}
	return anvilrevision.ShouldWatch(n.config.Name, domain)
}

// readConfig reads the configuration service and offers what it returns. It
// reports whether the service answered.
func (n *Node) readConfig(after uint64, wait time.Duration) bool {
	sent := time.Now()
	read, err := n.platform.ReadConfig(n.background, after, wait)
	if err != nil {
		n.config.Log.Warn().Str("event", "config-read-failed").Err(err).Send()
		n.recordUnreadable(err)
		return false
	}
	n.unreadable.Store("")
	n.heardPlatform(sent)
	if read.NotModified {
		n.withKeeper(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
			return k.HandleNotModified(after, sent, now)
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
	n.withKeeper(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.HandleDocuments(read.Version, documents, sent, now)
	})
	return true
}

// recordUnreadable audits, once, documents that are too large or malformed to be
// judged. Other errors say nothing about the documents.
func (n *Node) recordUnreadable(err error) {
	if !errorx.IsOfType(err, anvilplatform.TooLarge) && !errorx.IsOfType(err, anvilplatform.Malformed) {
		return
	}
	cause := err.Error()
	if n.unreadable.Swap(cause) == cause {
		return
	}
	n.record(anvilaudit.Event{
		Kind:    anvilaudit.KindConfigRefused,
		Subject: string(n.config.Name),
		Cause:   cause,
	})
}

func (n *Node) heardPlatform(sent time.Time) {
	n.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
		m.PlatformReplied(sent, now, a)
	})
}

// runList reads the published list of VMs.
func (n *Node) runList() {
	for n.background.Err() == nil {
		n.readList()
		members := len(n.memberView.Load().all)
		n.pause(max(n.config.VMListInterval, time.Duration(members)*listIntervalPerMember))
	}
}

func (n *Node) readList() {
	ctx, cancel := context.WithTimeout(n.background, peerTimeout)
	defer cancel()
	sent := time.Now()
	listed, err := n.platform.ListVMs(ctx)
	if err != nil {
		n.config.Log.Warn().Str("event", "vm-list-read-failed").Err(err).Send()
		n.prober.Update(func(m *anvilmember.Membership, now time.Time, a *anvilmember.Actions) {
			m.SetVMListUnavailable(now, a)
		})
		return
	}
	n.heardPlatform(sent)
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
	n.withKeeper(func(k *anvilrevision.Manager, now time.Time) []anvilrevision.Action {
		return k.SetVMList(live, leaving, now)
	})
}

// pause waits, or less when the node stops.
func (n *Node) pause(d time.Duration) {
	sleep(n.background, d)
}
