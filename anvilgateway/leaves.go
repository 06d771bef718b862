package anvilgateway

import (
	"context"
	"net/http"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
)

const (
	// healthCheckTimeout bounds a health check of an ejected leaf.
	healthCheckTimeout = 500 * time.Millisecond
	// prewarmConnections is the number of connections that are opened in advance to each
	// leaf of a shard service, because opening one takes as long as the shortest calls.
	prewarmConnections = 2
)

// poolFor returns the connection pool of a leaf's process. A new process or address of
// the leaf gets a new pool.
func (g *Gateway) poolFor(leaf anvilbalance.Leaf) *connPool {
	g.poolsMu.Lock()
	defer g.poolsMu.Unlock()
	current := g.pools[leaf.Name]
	if current != nil && current.address == leaf.Address && current.startedAt.Equal(leaf.StartedAt) {
		return current.connPool
	}
	if current != nil {
		current.close()
	}
	current = &leafPool{
		connPool:  newPool(leaf.Address, g.dialer),
		startedAt: leaf.StartedAt,
	}
	g.pools[leaf.Name] = current
	return current.connPool
}

// closePools closes the connections to all leaves permanently.
func (g *Gateway) closePools() {
	g.poolsMu.Lock()
	defer g.poolsMu.Unlock()
	for _, p := range g.pools {
		p.close()
	}
}

// maxIdleConnections returns how many connections to a leaf may be idle.
func (g *Gateway) maxIdleConnections(leaf anvilbalance.Leaf) int {
	g.balancerMu.Lock()
	defer g.balancerMu.Unlock()
	return g.balancer.IdleConnectionLimit(leaf.Service)
}

// maintainPools closes excess connections and the connections to removed leaves. If
// callers are directed to this node, it also opens connections to the leaves of shard
// services in advance.
func (g *Gateway) maintainPools(now time.Time) {
	type limitedPool struct {
		*connPool
		limit int
	}
	g.balancerMu.Lock()
	g.poolsMu.Lock()
	var kept []limitedPool
	var removed []*connPool
	for name, p := range g.pools {
		service, known := g.balancer.LeafService(name)
		if !known {
			delete(g.pools, name)
			removed = append(removed, p.connPool)
			continue
		}
		kept = append(kept, limitedPool{
			connPool: p.connPool,
			limit:    g.balancer.IdleConnectionLimit(service),
		})
	}
	g.poolsMu.Unlock()
	leaves := g.balancer.UsableLeaves(now)
	shouldPrewarm := g.inSubset && g.fleetSize.Stable(now)
	g.balancerMu.Unlock()
	for _, p := range removed {
		p.close()
	}
	for _, p := range kept {
		p.closeExcess(now, p.limit)
	}
	if table := g.table.Load(); table != nil && shouldPrewarm {
		g.prewarm(table.ShardServices(), leaves)
	}
}

// prewarm opens connections to the leaves of the services in advance.
func (g *Gateway) prewarm(services map[anvilmodel.ServiceName]bool, leaves []anvilbalance.Leaf) {
	for _, l := range leaves {
		if !services[l.Service] {
			continue
		}
		p := g.poolFor(l)
		if !p.startPrewarming() {
			continue
		}
		g.startTask(func() {
			for range min(prewarmConnections, g.maxIdleConnections(l)) {
				ctx, cancel := context.WithTimeout(g.background, dialTimeout)
				conn, err := p.dial(ctx, time.Time{})
				cancel()
				if err != nil {
					return
				}
				p.put(conn, time.Now(), prewarmConnections)
			}
		})
	}
}

// checkHealth runs a health check of a leaf that was ejected or may have restarted, and
// reports the result to the balancer.
func (g *Gateway) checkHealth(l anvilbalance.Leaf) {
	g.balancerMu.Lock()
	path := g.balancer.ServiceSettings(l.Service).HealthPath
	g.balancerMu.Unlock()
	result := anvilbalance.HealthResult{
		Leaf:   l,
		SentAt: time.Now(),
	}
	if path != "" {
		healthy, reply, status := g.sendHealthCheck(l, path)
		g.recordHealthReply(l, reply, status)
		result.Healthy = healthy
		result.Answered = status != 0
		result.ColdFor = reply.ColdFor
	}
	g.balancerMu.Lock()
	returned := g.balancer.FinishHealthCheck(result, time.Now())
	g.balancerMu.Unlock()
	g.config.Metrics.Add(anvilmetric.LeafHealthChecks, 1, outcomeLabel(result.Healthy))
	if returned {
		g.config.Log.Info().Str("event", "leaf-returned").Str("leaf", string(l.Name)).
			Str("service", string(l.Service)).Str("cause", "health check succeeded").Send()
	}
	if result.ColdFor > 0 {
		g.config.Log.Info().Str("event", "leaf-cold").Str("leaf", string(l.Name)).
			Str("service", string(l.Service)).Dur("cold-for-ms", result.ColdFor).Send()
	}
}

func outcomeLabel(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

// sendHealthCheck sends a health check. It also returns the reply if it comes from the
// leaf that was called.
func (g *Gateway) sendHealthCheck(l anvilbalance.Leaf, path string) (healthy bool, reply LeafReply, status int) {
	ctx, cancel := context.WithTimeout(g.background, healthCheckTimeout)
	defer cancel()
	conn, err := g.poolFor(l).dial(ctx, time.Now().Add(healthCheckTimeout))
	if err != nil {
		return false, LeafReply{}, 0
	}
	defer func() { _ = conn.Close() }()
	// The check must not delay the end of the process.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Address.String()+path, http.NoBody)
	if err != nil {
		return false, LeafReply{}, 0
	}
	if err := request.Write(conn); err != nil {
		return false, LeafReply{}, 0
	}
	resp, err := readResponse(conn, request)
	if err != nil {
		return false, LeafReply{}, 0
	}
	defer func() { _ = resp.Body.Close() }()
	reply = g.config.Protocol.DecodeReply(resp.StatusCode, resp.Header)
	g.logInvalidHeader(reply, resp.Header, "", l.Name)
	if !reply.isFrom(l) {
		return false, LeafReply{}, 0
	}
	return resp.StatusCode == http.StatusOK, reply, resp.StatusCode
}
