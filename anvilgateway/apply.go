package anvilgateway

import (
	"time"

	"anvilbridge/anvilfollower"
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// applyConfiguration applies changes of the configuration and of the set of failure
// domains that are out of service.
func (g *Gateway) applyConfiguration(b anvilfollower.Batch) {
	domainsChanged := false
	for _, i := range b.Items {
		switch g.config.Store.DecodeKey(i.Key).Kind {
		case ItemConfiguration:
			if !i.Deleted {
				g.applyNewConfiguration(i)
			}
		case ItemDomainOutOfService:
			domainsChanged = true
		case ItemOther, ItemLeaf:
		}
	}
	if domainsChanged || b.Restored {
		g.applyDomainsOutOfService(b)
	}
}

func (g *Gateway) applyNewConfiguration(i anvilmirror.Item) {
	c, err := g.config.Store.DecodeConfiguration(i.Value)
	if err != nil {
		g.config.Log.Error().Str("event", "configuration-refused").Uint64("revision", i.Revision).Err(err).Send()
		return
	}
	current := g.table.Load()
	if current != nil && c.Version < current.Version() {
		g.config.Log.Error().Str("event", "configuration-refused").Uint64("revision", i.Revision).
			Uint64("version", c.Version).Uint64("version-in-force", current.Version()).
			Str("cause", "older than the configuration in force").Send()
		return
	}
	table := anvilroute.NewTable(c)
	g.balancerMu.Lock()
	g.balancer.SetServices(table.Services())
	g.splitter.Reset()
	for name := range g.limiters {
		if !table.ShardServices()[name] {
			delete(g.limiters, name)
		}
	}
	g.elapsedEstimator.Retain(table.HasRoute)
	g.balancerMu.Unlock()
	g.table.Store(table)
	g.config.Log.Info().Str("event", "configuration-in-force").Uint64("revision", i.Revision).
		Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Send()
}

// restoredDomainGrace is how long a failure domain stays out of service that a restored store
// does not list. Operators write what was lost again, and need a domain out of service within
// 5 s of its acknowledgement.
const restoredDomainGrace = 5 * time.Second

// applyDomainsOutOfService passes the set of failure domains that are out of service to
// the balancer.
func (g *Gateway) applyDomainsOutOfService(b anvilfollower.Batch) {
	grace := time.Duration(0)
	if b.Restored {
		grace = restoredDomainGrace
	}
	var out []anvilmodel.FailureDomain
	for _, i := range b.Mirror.Items() {
		if k := g.config.Store.DecodeKey(i.Key); k.Kind == ItemDomainOutOfService {
			out = append(out, k.Domain)
		}
	}
	g.balancerMu.Lock()
	g.balancer.SetExcludedDomains(out, grace, time.Now())
	g.balancerMu.Unlock()
	g.config.Log.Info().Str("event", "failure-domains-out").Interface("domains", out).Dur("grace-ms", grace).Send()
}

// applyLeaves applies changes of leaf entries. An entry that cannot be decoded is treated
// as removed.
func (g *Gateway) applyLeaves(b anvilfollower.Batch) {
	now := time.Now()
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	for _, i := range b.Items {
		k := g.config.Store.DecodeKey(i.Key)
		if k.Kind != ItemLeaf {
			continue
		}
		if i.Deleted {
			grace := time.Duration(0)
			if b.AfterOutage {
				grace = anvilfollower.OutageGrace
			}
			g.balancer.RemoveLeaf(k.Leaf, now, grace)
			g.config.Log.Info().Str("event", "leaf-removed").Str("leaf", string(k.Leaf)).
				Uint64("revision", i.Revision).Dur("grace-ms", grace).Send()
			continue
		}
		l, err := g.config.Store.DecodeLeaf(i.Key, i.Value)
		if err != nil {
			g.balancer.RemoveLeaf(k.Leaf, now, 0)
			g.config.Log.Warn().Str("event", "leaf-entry-unreadable").Str("leaf", string(k.Leaf)).
				Uint64("revision", i.Revision).Err(err).Send()
			continue
		}
		if b.Restored && !g.balancer.RestoreLeaf(l, now) {
			g.config.Log.Info().Str("event", "leaf-entry-outdated").Str("leaf", string(l.Name)).
				Int64("report", l.ReportNumber).Uint64("revision", i.Revision).Send()
			continue
		}
		if !b.Restored {
			g.balancer.SetLeaf(l, now)
		}
		g.config.Log.Info().Str("event", "leaf-entry").Str("leaf", string(l.Name)).Str("service", string(l.Service)).
			Stringer("address", l.Address).Bool("draining", l.Draining).Dur("cold-for-ms", l.ColdFor).
			Uint64("revision", i.Revision).Send()
	}
}
