package anvilcapacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
)

const (
	pathNodes   = 4
	pathCallers = 4
	// pathPoll keeps the polls of leafs out of the measurement.
	pathPoll = time.Minute
	// pathCalls is the number of leaf calls for each value.
	pathCalls = 4_000
)

var errPartial = errors.New("an answer did not cover all shards")

// measurePath measures queries from a caller through origin, relay and
// dispatcher to leafs and back.
func measurePath(ctx context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{20, 50, designLeafsPerQuery}
	s := Slope{
		Name:     "path-cpu",
		What:     "a whole query in a fleet of 4 nodes: caller, origin, relay of 3 in 4 calls, dispatcher, HTTP call, stand-in",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "shards",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "check of the sum of the parts, caller and stand-ins included",
			Size:   designLeafsPerQuery,
			Factor: nodeQueries,
			Unit:   "cores",
		}},
	}
	services := []anvilstandin.ServiceConfig{}
	for i, n := range sizes {
		services = append(services, anvilstandin.ServiceConfig{
			Name:        serviceName(i),
			Shards:      n,
			Replicas:    serviceReplicas,
			Slots:       serviceSlots,
			QueueLength: 8 * serviceSlots,
		})
	}
	f, err := startNodeFleet(ctx, pathNodes, services, pathPoll, seed)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	for i, n := range sizes {
		p := &pathLoad{
			fleet:   f,
			service: serviceName(i),
			shards:  n,
		}
		if err := p.warmUp(ctx); err != nil {
			return nil, err
		}
		queries := pathCalls / n
		s.Values = append(s.Values, leastCPU(func() { p.run(ctx, queries) })/float64(queries))
		if p.failed != nil {
			return nil, p.failed
		}
	}
	return []Slope{s}, nil
}

// pathLoad sends queries to one service of a fleet.
type pathLoad struct {
	fleet   *nodeFleet
	service anvilmodel.ServiceName
	shards  int

	mu     sync.Mutex
	failed error
}

// warmUp sends queries until answers are whole for a while.
func (p *pathLoad) warmUp(ctx context.Context) error {
	client := p.client(0)
	defer client.Shutdown()
	whole := 0
	for range 2_000 {
		err := p.query(ctx, client)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			whole = 0
			if err := sleep(ctx, 10*time.Millisecond); err != nil {
				return err
			}
			continue
		}
		if whole++; whole == 60 {
			return nil
		}
	}
	return errPartial
}

func (p *pathLoad) client(i int) *anvilcaller.Client {
	return anvilcaller.New(anvilcaller.Config{
		Seeds:         p.fleet.seeds(),
		FailureDomain: domainName(i),
	})
}

// run sends queries from several callers and notes the first that failed.
func (p *pathLoad) run(ctx context.Context, queries int) {
	var tasks sync.WaitGroup
	for caller := range pathCallers {
		tasks.Go(func() {
			client := p.client(caller)
			defer client.Shutdown()
			for range queries / pathCallers {
				if err := p.query(ctx, client); err != nil {
					p.mu.Lock()
					if p.failed == nil {
						p.failed = err
					}
					p.mu.Unlock()
				}
			}
		})
	}
	tasks.Wait()
}

func (p *pathLoad) query(ctx context.Context, client *anvilcaller.Client) error {
	answer, err := client.Query(ctx, anvilcaller.Request{
		Service: p.service,
		Class:   "patience",
		Timeout: 2 * time.Second,
		Body:    make([]byte, callBody),
	})
	if err != nil {
		return err
	}
	if answer.Coverage.Covered != p.shards {
		return fmt.Errorf("%w: %d of %d", errPartial, answer.Coverage.Covered, p.shards)
	}
	return nil
}
