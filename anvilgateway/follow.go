package anvilgateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"anvilbridge/anvilfollower"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// Numbers of the followers' random streams. All streams use the same seed.
const (
	randomStreamConfiguration = 4
	randomStreamLeaves        = 5
	randomStreamRoles         = 6
)

// followerConfig returns the configuration of a follower of a prefix of the store.
func (g *Gateway) followerConfig(prefix string, roles *anvilfollower.Roles, stream uint64, apply func(anvilfollower.Batch)) anvilfollower.Config {
	return anvilfollower.Config{
		Prefix:  prefix,
		ReadAll: g.config.Store.ReadAll,
		Watch:   g.config.Store.Watch,
		// The client is looked up on each call, because it is created after the
		// followers.
		FetchChanges: func(ctx context.Context, address netip.AddrPort, q anvilpeer.PublishedRequest) (anvilpeer.PublishedReply, error) {
			return g.peers.Published(ctx, address, q)
		},
		Members: g.memberList,
		Roles:   roles,
		Apply:   apply,
		CountRead: func(kind string, ok bool) {
			g.config.Metrics.Add(anvilmetric.StoreReads, 1, kind, outcomeLabel(ok))
		},
		Random: rand.New(rand.NewPCG(g.config.Seed, stream)),
		Log:    g.config.Log,
	}
}

func (g *Gateway) memberList() []anvilmodel.Member {
	g.membersMu.Lock()
	defer g.membersMu.Unlock()
	return g.members.Members()
}

// published answers the request of another node for the local copy of a prefix.
func (g *Gateway) published(ctx context.Context, q anvilpeer.PublishedRequest) anvilpeer.PublishedReply {
	for _, f := range []*anvilfollower.Follower{g.followers.Configuration, g.followers.Leaves} {
		if f.Prefix() == q.Prefix {
			return f.ChangesSince(ctx, q)
		}
	}
	return anvilpeer.PublishedReply{
		Age: -1,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
