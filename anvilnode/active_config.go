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

// view is what a query needs of the configuration in force. It does not change.
type activeConfig struct {
	revision anvilrevision.Revision
	settings *anvilconfig.Settings
	// undeclared is set when the configuration does not declare this node's
	// site. The settings are then those of another site.
	siteUndeclared bool
	assignments    *anvilassign.Table
	domainsOut     []anvilmodel.FailureDomain
	appliedAt      time.Time
}

// isOut reports whether operators have taken a failure domain out.
func (v *activeConfig) isOut(domain anvilmodel.FailureDomain) bool {
	return v.settings.DomainOutOfService(domain)
}

// siteSettings returns the settings of a site. Whether a site is declared is no
// part of the verdict on a revision, because nodes of other sites would judge
// otherwise. A node of a site that is not declared takes the settings of the
// first one: what nodes must agree on, such as entry slots, leafs and failure
// domains taken out, is the same at all sites. It refuses queries.
func settingsForSite(r *anvilconfig.Configuration, site anvilconfig.SiteName) (settings *anvilconfig.Settings, declared bool) {
	if settings = r.Settings(site); settings != nil {
		return settings, true
	}
	return r.Settings(r.Sites()[0]), false
}

// undeclaredSite returns why the node must refuse queries although it has a
// configuration, or "".
func (n *Node) undeclaredSiteReason() string {
	if v := n.activeConfig.Load(); v != nil && v.siteUndeclared {
		return fmt.Sprintf("revision %d does not declare the site %s of this node", v.revision.Version, n.config.Site)
	}
	return ""
}

// apply puts a revision into force. Actions are carried out by several
// goroutines: one that was overtaken by a later revision is skipped.
func (n *Node) applyRevision(a anvilrevision.Action) {
	n.applyLock.Lock()
	defer n.applyLock.Unlock()
	if a.Sequence <= n.appliedSequence {
		return
	}
	n.appliedSequence = a.Sequence
	settings, declared := settingsForSite(a.Release, n.config.Site)
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
	n.recordAccepted(a, previous, active)
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

func (n *Node) recordAccepted(a anvilrevision.Action, previous, next *activeConfig) {
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
	n.recordDomains(previous, next)
}

func (n *Node) recordDomains(previous, next *activeConfig) {
	for _, d := range next.settings.FailureDomains {
		was := previous.isOut(d.Name)
		is := d.State == anvilconfig.DomainOutOfService
		if was == is {
			continue
		}
		kind := anvilaudit.KindDomainReturned
		if is {
			kind = anvilaudit.KindDomainOut
		}
		n.recordEvent(anvilaudit.Event{
			Kind:    kind,
			Subject: string(d.Name),
			Cause:   fmt.Sprintf("revision %d sets state %s", next.revision.Version, d.State),
		})
	}
}

// applyOrigin tells the query core which leafs there are and which it may use.
func (n *Node) configureOrigin(v *activeConfig) {
	n.originLock.Lock()
	defer n.originLock.Unlock()
	if n.origin == nil {
		return
	}
	leafs := []anvilmodel.Leaf{}
	for _, service := range v.settings.Services {
		leafs = append(leafs, service.Leaves...)
	}
	n.origin.SetLeafs(leafs)
	n.origin.SetHedgeQuantile(v.settings.Policy.HedgeQuantile)
	n.origin.SetBudgets(v.settings.Policy.HedgeBudget, v.settings.Policy.RetryBudget)
	for _, leaf := range leafs {
		n.origin.SetUsable(leaf.Name, !v.isOut(leaf.FailureDomain))
	}
}
