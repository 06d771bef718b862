package anvilnode

import (
	"fmt"
	"time"

	"anvilbridge/anvilassign"
	"anvilbridge/anvilaudit"
	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilrevision"
)

// activeConfig holds what queries need of the active configuration. It is immutable.
type activeConfig struct {
	revision anvilrevision.Revision
	settings *anvilconfig.Settings
	// siteUndeclared is set if the configuration does not declare this node's site.
	// settings are then those of another site.
	siteUndeclared bool
	assignments    *anvilassign.Table
	domainsOut     []anvilmodel.FailureDomain
	appliedAt      time.Time
}

// isOut reports whether operators have taken a failure domain out of service.
func (c *activeConfig) isOut(domain anvilmodel.FailureDomain) bool {
	return c.settings.DomainOutOfService(domain)
}

// settingsForSite returns the settings of a site and whether the site is declared. A
// revision is valid even if it does not declare a site, because nodes of other sites
// would otherwise disagree on its validity. If a site is not declared, its nodes refuse
// queries and use the settings of the first site. Settings that nodes must agree on,
// such as entry slots, leaves and failure domains taken out of service, are the same for
// all sites.
func settingsForSite(r *anvilconfig.Configuration, site anvilconfig.SiteName) (settings *anvilconfig.Settings, declared bool) {
	if settings = r.Settings(site); settings != nil {
		return settings, true
	}
	return r.Settings(r.Sites()[0]), false
}

// undeclaredSiteReason returns why the node must refuse queries although it has a
// configuration, or "".
func (n *Node) undeclaredSiteReason() string {
	if active := n.activeConfig.Load(); active != nil && active.siteUndeclared {
		return fmt.Sprintf("revision %d does not declare the site %s of this node", active.revision.Version, n.config.Site)
	}
	return ""
}

// applyRevision makes a revision active. Actions are executed by several goroutines, so
// an action that arrives after a later one is skipped.
func (n *Node) applyRevision(a anvilrevision.Action) {
	n.applyLock.Lock()
	defer n.applyLock.Unlock()
	if a.Sequence <= n.appliedSequence {
		return
	}
	n.appliedSequence = a.Sequence
	settings, declared := settingsForSite(a.Configuration, n.config.Site)
	active := &activeConfig{
		revision:       a.Revision,
		settings:       settings,
		siteUndeclared: !declared,
		assignments:    anvilassign.New(assignConfig(settings)),
		appliedAt:      time.Now(),
	}
	for _, d := range settings.FailureDomains {
		if d.State == anvilconfig.DomainOutOfService {
			active.domainsOut = append(active.domainsOut, d.Name)
		}
	}
	previous := n.activeConfig.Swap(active)
	n.recordAcceptedRevision(a, previous, active)
	n.configureOrigin(active)
	n.configureRunners(active)
}

func assignConfig(s *anvilconfig.Settings) anvilassign.Config {
	c := anvilassign.Config{
		Limits:    make(map[anvilmodel.ServiceName]anvilassign.Limits, len(s.Services)),
		GroupSize: s.Policy.LeafGroupSize,
	}
	for _, slot := range s.EntrySlots {
		c.Slots = append(c.Slots, anvilassign.Slot{
			Name:          slot.Name,
			FailureDomain: slot.FailureDomain,
		})
	}
	for _, service := range s.Services {
		c.Leaves = append(c.Leaves, service.Leaves...)
		c.Limits[service.Name] = anvilassign.Limits{
			Connections:     service.Connections,
			ColdConcurrency: service.ColdConcurrency,
		}
	}
	return c
}

func (n *Node) recordAcceptedRevision(a anvilrevision.Action, previous, next *activeConfig) {
	event := anvilaudit.Event{
		Kind:     anvilaudit.KindConfigAccepted,
		Subject:  string(n.config.Site),
		Cause:    a.Cause,
		Revision: a.Revision.Version,
	}
	if next.siteUndeclared {
		event.Cause += "; it does not declare this site, so the node refuses queries"
	}
	if previous == nil {
		n.recordEvent(event)
		return
	}
	for _, c := range anvilconfig.Diff(previous.settings, next.settings) {
		event.Changes = append(event.Changes, anvilaudit.Change{
			Path: c.Path,
			Old:  c.Old,
			New:  c.New,
		})
	}
	n.recordEvent(event)
	n.recordDomainChanges(previous, next)
}

func (n *Node) recordDomainChanges(previous, next *activeConfig) {
	for _, d := range next.settings.FailureDomains {
		wasOut := previous.isOut(d.Name)
		isOut := d.State == anvilconfig.DomainOutOfService
		if wasOut == isOut {
			continue
		}
		kind := anvilaudit.KindDomainReturned
		if isOut {
			kind = anvilaudit.KindDomainOut
		}
		n.recordEvent(anvilaudit.Event{
			Kind:    kind,
			Subject: string(d.Name),
			Cause:   fmt.Sprintf("revision %d sets state %s", next.revision.Version, d.State),
		})
	}
}

// configureOrigin configures the query origin with the leaves, and marks those of
// failure domains that are taken out of service as unusable.
func (n *Node) configureOrigin(active *activeConfig) {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if n.origin == nil {
		return
	}
	leaves := []anvilmodel.Leaf{}
	for _, service := range active.settings.Services {
		leaves = append(leaves, service.Leaves...)
	}
	n.origin.SetLeaves(leaves)
	n.origin.SetHedgeQuantile(active.settings.Policy.HedgeQuantile)
	n.origin.SetBudgets(active.settings.Policy.HedgeBudget, active.settings.Policy.RetryBudget)
	for _, leaf := range leaves {
		n.origin.SetUsable(leaf.Name, !active.isOut(leaf.FailureDomain))
	}
}
