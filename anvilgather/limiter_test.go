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

// simulateBurst lets queries arrive at a rate at shards that can work on a number of
// them at a time, each for 80 ms, and shed what is beyond. A query that is shed
// occupies the other shards for a part of that time. It returns the queries that
// were answered and those that failed in the last half.
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

// Pattern: three times the usual number of queries arrive for some seconds.
// Guards against leafs that work for queries which fail, so that fewer are
// answered than without the burst.
func TestLimiterRefusesExcessQueries(t *testing.T) {
	const slots = 10
	// Ten queries at a time, 80 ms each, are 125 a second.
	const capacity = 125 * 6
	answered, failed := simulateBurst(375, slots, true)
	unlimited, unlimitedFailed := simulateBurst(375, slots, false)
	t.Logf("seed %d: %d answered and %d failed, %d and %d without a limit", seed, answered, failed, unlimited, unlimitedFailed)
	if answered < capacity*3/4 {
		t.Errorf("seed %d: %d queries answered, the leafs can answer %d", seed, answered, capacity)
	}
	if failed > answered/4 {
		t.Errorf("seed %d: %d queries failed after leafs had worked for them, %d were answered", seed, failed, answered)
	}
}

// Guards against a limit that refuses queries on a calm day.
func TestLimiterAdmitsAllWithoutOverload(t *testing.T) {
	limited, _ := simulateBurst(60, 30, true)
	unlimited, _ := simulateBurst(60, 30, false)
	if limited != unlimited {
		t.Errorf("seed %d: %d queries answered with the limiter, %d without", seed, limited, unlimited)
	}
}

// Guards against lesser requests that take the room of the more urgent ones.
func TestLimiterReservesRoomForHighPriority(t *testing.T) {
	l := anvilgather.NewLimiter()
	l.Admit(newQuery(0))
	n := 0
	for l.Admit(newQuery(2)) {
		n++
	}
	if float64(n) >= l.Limit()-1 || !l.Admit(newQuery(0)) {
		t.Errorf("%d lesser queries run under a limit of %.0f and an urgent one is refused", n, l.Limit())
	}
}

// Pattern: leafs queue for longer than queries can wait, and shed nothing. Guards against
// a limit that does not fall although no query is in time, and against one that falls
// with each query that was under way when it fell.
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
		t.Errorf("the limit is %.1f after %d late queries that ran together", l.Limit(), queries)
	}
	if !l.Overloaded(now) || l.Overloaded(now.Add(time.Minute)) {
		t.Errorf("overloaded now: %t, a minute later: %t", l.Overloaded(now), l.Overloaded(now.Add(time.Minute)))
	}
}

// Guards against queries that fail at once, for want of leafs, and are taken for ones
// that the leafs answered quickly.
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
		t.Errorf("the limit went from %.1f to %.1f", before, l.Limit())
	}
	if after := l.RetryAfter(start, 0.5); after > 200*time.Millisecond {
		t.Errorf("without overload callers come back after %s", after)
	}
}
