package anvildemo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilbridge/anvilcaller"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstandin"
)

// classLoad describes the load of one request class: each worker sends a request
// per interval.
type classLoad struct {
	name          anvilmodel.ClassName
	service       anvilmodel.ServiceName
	timeout       time.Duration
	workers       int
	interval      time.Duration
	nonIdempotent bool
	withKey       bool
}

func classLoads() []classLoad {
	return []classLoad{
		{
			name:     "buyers",
			service:  "registry-portal",
			timeout:  110 * time.Millisecond,
			workers:  6,
			interval: 40 * time.Millisecond,
		},
		{
			name:     "foremen",
			service:  "registry-portal",
			timeout:  60 * time.Millisecond,
			workers:  6,
			interval: 40 * time.Millisecond,
		},
		{
			name:          "certify",
			service:       "grade-certification",
			timeout:       500 * time.Millisecond,
			workers:       4,
			interval:      40 * time.Millisecond,
			nonIdempotent: true,
			withKey:       true,
		},
		{
			name:     "clerks",
			service:  "archive-desk",
			timeout:  500 * time.Millisecond,
			workers:  4,
			interval: 40 * time.Millisecond,
		},
	}
}

// classResult collects the results of the requests of a class in one phase.
type classResult struct {
	mu            sync.Mutex
	latency       *hdrhistogram.Histogram
	answered      int
	coveredShards int
	totalShards   int
	refused       int
	late          int
	failed        int
	// notRunClaims holds the requests whose refusal states that they did not run.
	notRunClaims []anvilmodel.RequestID
	violations   []string
}

func newClassResult() *classResult {
	return &classResult{
		latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
}

// load sends the requests of all classes until its context ends.
type load struct {
	fleet   *fleet
	clients []*anvilcaller.Client
	running sync.WaitGroup

	mu      sync.Mutex
	results map[anvilmodel.ClassName]*classResult
}

func newLoad(f *fleet) *load {
	l := &load{
		fleet: f,
	}
	for _, domain := range failureDomains {
		l.clients = append(l.clients, anvilcaller.New(anvilcaller.Config{
			Seeds:         f.seeds(),
			FailureDomain: domain,
		}))
	}
	l.nextPhase()
	return l
}

// nextPhase starts a new phase and returns the results of the previous one.
func (l *load) nextPhase() map[anvilmodel.ClassName]*classResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.results
	l.results = make(map[anvilmodel.ClassName]*classResult)
	for _, c := range classLoads() {
		l.results[c.name] = newClassResult()
	}
	return previous
}

func (l *load) result(name anvilmodel.ClassName) *classResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results[name]
}

func (l *load) start(ctx context.Context) {
	for _, c := range classLoads() {
		for worker := range c.workers {
			client := l.clients[worker%len(l.clients)]
			l.running.Add(1)
			go func() {
				defer l.running.Done()
				l.runWorker(ctx, c, worker, client)
			}()
		}
	}
}

func (l *load) wait() {
	l.running.Wait()
	for _, c := range l.clients {
		c.Shutdown()
	}
}

func (l *load) runWorker(ctx context.Context, c classLoad, worker int, client *anvilcaller.Client) {
	random := rand.New(rand.NewPCG(l.fleet.seed, uint64(worker)))
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		request := anvilcaller.Request{
			ID:            anvilmodel.RequestID(fmt.Sprintf("%s-%d-%d", c.name, worker, number)),
			Service:       c.service,
			Class:         c.name,
			Timeout:       c.timeout,
			NonIdempotent: c.nonIdempotent,
			Body:          fmt.Appendf(nil, "lot %d", random.IntN(1000)),
		}
		if c.withKey {
			request.Key = fmt.Sprintf("mill-%d", random.IntN(1000))
		}
		l.send(c, client, request)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *load) send(c classLoad, client *anvilcaller.Client, request anvilcaller.Request) {
	result := l.result(c.name)
	started := time.Now()
	answer, err := client.Query(context.Background(), request)
	elapsed := time.Since(started)
	result.mu.Lock()
	defer result.mu.Unlock()
	var refusal *anvilmodel.Refusal
	switch {
	case err == nil:
		result.answered++
		result.coveredShards += answer.Coverage.Covered
		result.totalShards += answer.Coverage.Total
		if elapsed > c.timeout {
			result.late++
		}
		// RecordValue fails only for values outside the histogram's range.
		_ = result.latency.RecordValue(elapsed.Microseconds())
		if fault := checkAnswer(request, answer); fault != "" {
			result.violations = append(result.violations, fault)
		}
	case errors.As(err, &refusal):
		result.refused++
		if refusal.RunState == anvilmodel.RunStateNotRun {
			result.notRunClaims = append(result.notRunClaims, request.ID)
		}
	case elapsed >= c.timeout:
		// The request ended at the caller's timeout, so it counts as late and not as
		// failed.
		result.late++
	default:
		result.failed++
		l.fleet.log.Warn().Str("event", "query-failed").Str("request", string(request.ID)).Err(err).Send()
	}
}

// checkAnswer returns a description of the fault in an answer, or "" if it is
// correct.
func checkAnswer(request anvilcaller.Request, answer anvilmodel.Answer) string {
	if answer.Coverage.Covered != len(answer.Parts) || answer.Coverage.Covered+len(answer.Coverage.Missing) != answer.Coverage.Total {
		return fmt.Sprintf("%s: %d parts, coverage %+v", request.ID, len(answer.Parts), answer.Coverage)
	}
	for _, p := range answer.Parts {
		expected := anvilstandin.ExpectedPart(request.Service, answer.Snapshot, p.Shard, request.Body)
		if !bytes.Equal(expected, p.Body) {
			return fmt.Sprintf("%s: shard %d of snapshot %d has a foreign body", request.ID, p.Shard, answer.Snapshot)
		}
	}
	return ""
}
