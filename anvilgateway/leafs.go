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
	// checkTimeout bounds a health check of an ejected leaf.
	checkTimeout = 500 * time.Millisecond
	// warmConnections is the number of connections that are opened early to each
	// leaf of a query, because opening one takes as long as the shortest calls.
	warmConnections = 2
)

// pool returns the connections to a leaf's process.
func (g *Gateway) pool(leaf anvilbalance.Leaf) *pool {
	g.connecting.Lock()
	defer g.connecting.Unlock()
	held := g.pools[leaf.ID]
	if held != nil && held.address == leaf.Address && held.started.Equal(leaf.StartedAt) {
		return held.pool
	}
	if held != nil {
		held.close()
	}
	held = &leafPool{
		pool:    newPool(leaf.Address, g.dialer),
		started: leaf.StartedAt,
	}
	g.pools[leaf.ID] = held
	return held.pool
}

// closePools closes the connections to all leafs for good.
func (g *Gateway) closePools() {
	g.connecting.Lock()
	defer g.connecting.Unlock()
	for _, p := range g.pools {
		p.close()
	}
}

// idleLimit returns how many connections to a leaf may be idle.
func (g *Gateway) idleLimit(leaf anvilbalance.Leaf) int {
	g.balancing.Lock()
	defer g.balancing.Unlock()
	return g.balancer.IdleConnectionLimit(leaf.Service)
}

// trimPools closes the connections to leafs that are gone and surplus ones, and
// opens some to leafs that queries are sent to if callers are sent to this node.
func (g *Gateway) trimPools(now time.Time) {
	type limitedPool struct {
		*pool
		limit int
	}
	g.balancing.Lock()
	g.connecting.Lock()
	var kept []limitedPool
	var gone []*pool
	for id, p := range g.pools {
		service, held := g.balancer.LeafService(id)
		if !held {
			delete(g.pools, id)
			gone = append(gone, p.pool)
			continue
		}
		kept = append(kept, limitedPool{
			pool:  p.pool,
			limit: g.balancer.IdleConnectionLimit(service),
		})
	}
	g.connecting.Unlock()
	leafs := g.balancer.UsableLeaves(now)
	active := g.active && g.fleet.Stable(now)
	g.balancing.Unlock()
	for _, p := range gone {
		p.close()
	}
	for _, p := range kept {
		p.trim(now, p.limit)
	}
	if table := g.table.Load(); table != nil && active {
		g.warm(table.ShardServices(), leafs)
	}
}

// warm opens connections to the leafs of the services.
func (g *Gateway) warm(services map[anvilmodel.ServiceName]bool, leafs []anvilbalance.Leaf) {
	for _, l := range leafs {
		if !services[l.Service] {
			continue
		}
		p := g.pool(l)
		if !p.beginWarm() {
			continue
		}
		g.goRun(func() {
			for range min(warmConnections, g.idleLimit(l)) {
				ctx, cancel := context.WithTimeout(g.background, dialTimeout)
				conn, err := p.dial(ctx, time.Time{})
				cancel()
				if err != nil {
					return
				}
				p.put(conn, time.Now(), warmConnections)
			}
		})
	}
}

// checkLeaf asks an ejected leaf for its health.
func (g *Gateway) checkLeaf(l anvilbalance.Leaf) {
	g.balancing.Lock()
	path := g.balancer.ServiceSettings(l.Service).HealthPath
	g.balancing.Unlock()
	healthy := false
	if path != "" {
		var said LeafReply
		var status int
		healthy, said, status = g.askHealth(l, path)
		g.noteHealth(l, said, status)
	}
	g.balancing.Lock()
	g.balancer.FinishHealthCheck(l, healthy, time.Now())
	g.balancing.Unlock()
	g.config.Metrics.Add(anvilmetric.LeafHealthChecks, 1, outcomeLabel(healthy))
	if healthy {
		g.config.Log.Info().Str("event", "leaf-returned").Str("leaf", string(l.ID)).
			Str("service", string(l.Service)).Str("cause", "health check succeeded").Send()
	}
}

func outcomeLabel(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

// askHealth sends a health check. It returns also what the leaf says in its reply, if
// it is the one that was asked.
func (g *Gateway) askHealth(l anvilbalance.Leaf, path string) (healthy bool, said LeafReply, status int) {
	ctx, cancel := context.WithTimeout(g.background, checkTimeout)
	defer cancel()
	conn, err := g.pool(l).dial(ctx, time.Now().Add(checkTimeout))
	if err != nil {
		return false, LeafReply{}, 0
	}
	defer func() { _ = conn.Close() }()
	// The check must not hold the end of the process up.
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
	said = g.config.Protocol.DecodeReply(resp.StatusCode, resp.Header)
	g.logUnreadable(said, resp.Header, "", l.ID)
	if !said.speaksFor(l) {
		return false, LeafReply{}, 0
	}
	return resp.StatusCode == http.StatusOK, said, resp.StatusCode
}
