package anvilgather_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"anvilbridge/anvilgather"
)

const seed = 20261204

func newQuery(priority int) anvilgather.AdmissionRequest {
	return anvilgather.AdmissionRequest{
		Route:         "r",
		Priority:      priority,
		TargetLatency: 200 * time.Millisecond,
	}
}

// simulateBurst sends queries at a rate to shards that can work on a limited number of
// them at a time, each for 80 ms, and shed the rest. A query that is shed occupies the
// other shards for 50 ms. It returns the numbers of queries that were answered and that
// failed in the second half of the time.
func simulateBurst(perSecond, capacity int, limited bool) (answered, failed int) {
	const workTime, shedTime = 80 * time.Millisecond, 50 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, uint64(perSecond)))
	l := anvilgather.NewLimiter()
	type runningQuery struct {
		started time.Time
		end     time.Time
		ok      bool
	}
	var running []runningQuery
	const length = 12 * time.Second
	for now := start; now.Before(start.Add(length)); now = now.Add(time.Millisecond) {
		remaining := running[:0]
		for _, q := range running {
			if q.end.After(now) {
				remaining = append(remaining, q)
				continue
			}
			if limited {
				l.Done(anvilgather.Completion{
					Route:         "r",
					TargetLatency: 200 * time.Millisecond,
					StartedAt:     q.started,
					MedianLatency: shedTime,
					MedianKnown:   true,
					Shed:          !q.ok,
				}, now)
			}
			if now.Sub(start) > length/2 {
				if q.ok {
					answered++
				} else {
					failed++
				}
			}
		}
		running = remaining
		if random.IntN(1000) >= perSecond || limited && !l.Admit(newQuery(1)) {
			continue
		}
		if len(running) < capacity {
			running = append(running, runningQuery{
				started: now,
				end:     now.Add(workTime),
				ok:      true,
			})
			continue
		}
		running = append(running, runningQuery{
			started: now,
			end:     now.Add(shedTime),
		})
	}
	return answered, failed
}

// Sends three times the normal number of queries for some seconds. Guards against leaves
// that work on queries that fail in the end, so that fewer are answered than without the
// burst.
func TestLimiterRefusesExcessQueries(t *testing.T) {
	const slots = 10
	// Ten concurrent queries of 80 ms each are 125 per second; 6 s are counted.
	const capacity = 125 * 6
	answered, failed := simulateBurst(375, slots, true)
	unlimited, unlimitedFailed := simulateBurst(375, slots, false)
	t.Logf("seed %d: with the limiter %d answered and %d failed, without it %d and %d", seed, answered, failed, unlimited, unlimitedFailed)
	if answered < capacity*3/4 {
		t.Errorf("seed %d: %d queries answered, want at least three quarters of the %d that the leaves can answer", seed, answered, capacity)
	}
	if failed > answered/4 {
		t.Errorf("seed %d: %d queries failed after leaves had worked on them, want at most a quarter of the %d answered", seed, failed, answered)
	}
}

// Guards against a limiter that refuses queries under normal load.
func TestLimiterAdmitsAllWithoutOverload(t *testing.T) {
	limited, _ := simulateBurst(60, 30, true)
	unlimited, _ := simulateBurst(60, 30, false)
	if limited != unlimited {
		t.Errorf("seed %d: %d queries answered with the limiter, %d without", seed, limited, unlimited)
	}
}

// Guards against low-priority queries that use up the limit, so that high-priority queries
// are refused.
func TestLimiterReservesRoomForHighPriority(t *testing.T) {
	l := anvilgather.NewLimiter()
	l.Admit(newQuery(0))
	n := 0
	for l.Admit(newQuery(2)) {
		n++
	}
	if float64(n) >= l.Limit()-1 || !l.Admit(newQuery(0)) {
		t.Errorf("%d low-priority queries admitted under a limit of %.0f, want room for a high-priority query", n, l.Limit())
	}
}

// The leaves queue calls for longer than queries can wait, and shed nothing. Guards against
// a limit that does not decrease although no query is in time, and against a limit that
// decreases again for each query that was already running at the first decrease.
func TestLateQueriesLowerLimitOnce(t *testing.T) {
	l := anvilgather.NewLimiter()
	const queries = 20
	for range queries {
		l.Admit(newQuery(0))
	}
	now := start.Add(150 * time.Millisecond)
	for range queries {
		l.Done(anvilgather.Completion{
			Route:         "r",
			TargetLatency: 200 * time.Millisecond,
			StartedAt:     start,
			MedianLatency: 120 * time.Millisecond,
			MedianKnown:   true,
		}, now)
	}
	if l.Limit() >= queries || l.Limit() < queries/2 {
		t.Errorf("limit is %.1f after %d concurrent late queries, want it decreased once", l.Limit(), queries)
	}
	if !l.Overloaded(now) || l.Overloaded(now.Add(time.Minute)) {
		t.Errorf("Overloaded is %t now and %t a minute later, want true and false", l.Overloaded(now), l.Overloaded(now.Add(time.Minute)))
	}
}

// Guards against queries that fail at once because no leaf is available, and that count as
// if leaves had answered them quickly.
func TestImmediateFailuresKeepLimit(t *testing.T) {
	l := anvilgather.NewLimiter()
	before := l.Limit()
	for range 50 {
		l.Admit(newQuery(0))
	}
	for range 50 {
		l.Done(anvilgather.Completion{
			Route:         "r",
			TargetLatency: 200 * time.Millisecond,
			StartedAt:     start,
		}, start)
	}
	if l.Limit() != before {
		t.Errorf("limit changed from %.1f to %.1f", before, l.Limit())
	}
	if delay := l.RetryAfter(start, 0.5); delay > 200*time.Millisecond {
		t.Errorf("retry delay without overload is %s, want at most 200 ms", delay)
	}
}
