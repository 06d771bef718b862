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
	pathCalls = 3_000
)

// pathCovered is the share of the shards that answers must cover, or the CPU time
// is that of something else. On a busy machine a stand-in sheds a call at times.
const pathCovered = 0.9

var errPartial = errors.New("answers did not cover the shards")

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
		if err := p.check(); err != nil {
			return nil, err
		}
	}
	return []Slope{s}, nil
}

// pathLoad sends queries to one service of a fleet.
type pathLoad struct {
	fleet   *nodeFleet
	service anvilmodel.ServiceName
	shards  int

	mu      sync.Mutex
	covered int
	total   int
	failed  error
}

func (p *pathLoad) check() error {
	if p.failed != nil {
		return p.failed
	}
	if float64(p.covered) < pathCovered*float64(p.total) {
		return fmt.Errorf("%w: %d of %d", errPartial, p.covered, p.total)
	}
	return nil
}

// warmUp sends queries until answers are whole for a while.
func (p *pathLoad) warmUp(ctx context.Context) error {
	client := p.client(0)
	defer client.Shutdown()
	whole := 0
	for range 2_000 {
		covered, err := p.query(ctx, client)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || covered < p.shards {
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

// run sends queries from several callers.
func (p *pathLoad) run(ctx context.Context, queries int) {
	var tasks sync.WaitGroup
	for caller := range pathCallers {
		tasks.Go(func() {
			client := p.client(caller)
			defer client.Shutdown()
			for range queries / pathCallers {
				p.note(p.query(ctx, client))
			}
		})
	}
	tasks.Wait()
}

func (p *pathLoad) note(covered int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.covered += covered
	p.total += p.shards
	if p.failed == nil {
		p.failed = err
	}
}

// query returns how many shards the answer covers.
func (p *pathLoad) query(ctx context.Context, client *anvilcaller.Client) (int, error) {
	answer, err := client.Query(ctx, anvilcaller.Request{
		Service: p.service,
		Class:   "patience",
		Timeout: 2 * time.Second,
		Body:    make([]byte, callBody),
	})
	return answer.Coverage.Covered, err
}
