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

// class is the load of one request class.
type class struct {
	name          anvilmodel.ClassName
	service       anvilmodel.ServiceName
	timeout       time.Duration
	workers       int
	interval      time.Duration
	nonIdempotent bool
	keyed         bool
}

func classes() []class {
	return []class{
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
			keyed:         true,
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

// classResult collects what the callers of a class saw in one phase.
type classResult struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	answers  int
	covered  int
	total    int
	refused  int
	late     int
	failures int
	// claims holds the requests that were refused as certainly not run.
	claims []anvilmodel.RequestID
	broken []string
}

func newClassResult() *classResult {
	return &classResult{
		latency: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3),
	}
}

// load sends the queries of every class until the context ends.
type load struct {
	fleet   *fleet
	clients []*anvilcaller.Client
	tasks   sync.WaitGroup

	mu    sync.Mutex
	phase map[anvilmodel.ClassName]*classResult
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
	l.next()
	return l
}

// next begins a phase and returns the results of the previous one.
func (l *load) next() map[anvilmodel.ClassName]*classResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.phase
	l.phase = make(map[anvilmodel.ClassName]*classResult)
	for _, c := range classes() {
		l.phase[c.name] = newClassResult()
	}
	return previous
}

func (l *load) result(name anvilmodel.ClassName) *classResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase[name]
}

func (l *load) start(ctx context.Context) {
	for _, c := range classes() {
		for worker := range c.workers {
			client := l.clients[worker%len(l.clients)]
			l.tasks.Add(1)
			go func() {
				defer l.tasks.Done()
				l.work(ctx, c, worker, client)
			}()
		}
	}
}

func (l *load) wait() {
	l.tasks.Wait()
	for _, c := range l.clients {
		c.Shutdown()
	}
}

func (l *load) work(ctx context.Context, c class, worker int, client *anvilcaller.Client) {
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
		if c.keyed {
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

func (l *load) send(c class, client *anvilcaller.Client, request anvilcaller.Request) {
	result := l.result(c.name)
	started := time.Now()
	answer, err := client.Query(context.Background(), request)
	took := time.Since(started)
	result.mu.Lock()
	defer result.mu.Unlock()
	var refusal *anvilmodel.Refusal
	switch {
	case err == nil:
		result.answers++
		result.covered += answer.Coverage.Covered
		result.total += answer.Coverage.Total
		if took > c.timeout {
			result.late++
		}
		// A value in the histogram's range is always recorded.
		_ = result.latency.RecordValue(took.Microseconds())
		if fault := checkAnswer(request, answer); fault != "" {
			result.broken = append(result.broken, fault)
		}
	case errors.As(err, &refusal):
		result.refused++
		if refusal.RunState == anvilmodel.RunStateNotRun {
			result.claims = append(result.claims, request.ID)
		}
	case took >= c.timeout:
		// Nothing was lost before the caller's own time was up.
		result.late++
	default:
		result.failures++
		l.fleet.log.Warn().Str("event", "query-failed").Str("request", string(request.ID)).Err(err).Send()
	}
}

// checkAnswer returns what is wrong with an answer, or "".
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
