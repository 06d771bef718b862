package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// coldRate is how many requests a second a cold leaf tolerates, and coldBound what it
	// may get in one second: coldRate x 1.5 + 5, with the bounds of the settings.
	coldRate  = 6
	coldBound = coldRate*3/2 + 5
	// coldCrashRate is the rate at which a cold leaf crashes.
	coldCrashRate = 3*coldRate + 2
	// warmUpTime is how long a leaf is cold after its start.
	warmUpTime = 3 * time.Second
	// downTime is how long the crashed leaf is away. Its entry stays in the store, because it
	// is removed only after three status report intervals.
	downTime = 1200 * time.Millisecond
	// maxCrashes is how often the leaf crashes, until the rule is broken, and settleTime the
	// time between its warm-up and the next crash.
	maxCrashes = 3
	settleTime = 3 * time.Second
	// reportInterval is the status report interval of the settings. The first report of a
	// leaf follows within it.
	reportInterval = 1200 * time.Millisecond
)

// playColdStart crashes a leaf, which starts again under its name, cold, and says so in its
// health responses.
func playColdStart(r *record, trouble bool) outcome {
	s, err := startStore(r)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = s.server.Close() }()
	var leaves []*leaf
	for i, zone := range []string{"scot-west", "scot-east"} {
		l := &leaf{
			id:        fmt.Sprintf("i-depot-%d", i+1),
			service:   "depot",
			zone:      zone,
			slots:     8,
			work:      20 * time.Millisecond,
			warmUp:    warmUpTime,
			crashRate: coldCrashRate,
			store:     s,
			record:    r,
		}
		if err := startLeaf(l); err != nil {
			return outcome{err: err}
		}
		defer l.crash()
		leaves = append(leaves, l)
	}
	s.put(word("key-configuration"), configuration(7, []any{
		route("r-order", "/order/", "type-idempotent", "depot"),
		route("r-book", "/book/", "type-non-idempotent", "depot"),
	}, []any{service("depot", coldRate)}))
	f, err := newFleet(r, 4, func(int) string { return s.address })
	if err != nil {
		return outcome{err: err}
	}
	broken := false
	defer func() { f.stop(broken) }()
	if err := f.startAll(10 * time.Second); err != nil {
		return outcome{err: err}
	}
	reads := &callers{
		name:   "read",
		fleet:  f,
		record: r,
		method: http.MethodGet,
		path:   "/order/a",
		budget: 2 * time.Second,
		pause:  60 * time.Millisecond,
	}
	bookings := &callers{
		name:   "book",
		fleet:  f,
		record: r,
		method: http.MethodPost,
		path:   "/book/a",
		budget: 2 * time.Second,
		pause:  60 * time.Millisecond,
	}
	reads.start(9)
	bookings.start(3)
	time.Sleep(12 * time.Second)
	crashing := leaves[0]
	most, crashes := 0, 0
	crashedAgain := false
	for trouble && crashes < maxCrashes && most <= coldBound {
		crashes++
		crashing.crash()
		time.Sleep(downTime)
		startedAt := time.Now()
		if err := crashing.restart(reportInterval); err != nil {
			return outcome{err: err}
		}
		select {
		case <-crashing.crashed:
			crashedAgain = true
		case <-time.After(warmUpTime + settleTime):
		}
		most = max(most, busiestSecond(crashing.arrivalsBetween(startedAt, startedAt.Add(warmUpTime))))
	}
	time.Sleep(3 * time.Second)
	reads.stop()
	bookings.stop()
	broken = most > coldBound
	return outcome{
		broken: broken,
		summary: fmt.Sprintf("the cold leaf got up to %d requests in one second (%d are allowed) after crash %d, it crashed under them: %t; %d of %d reads and %d of %d bookings were served, %d bookings got an answer that leaves open whether they have run",
			most, coldBound, crashes, crashedAgain, reads.served.Load(), reads.requests.Load(), bookings.served.Load(), bookings.requests.Load(), bookings.uncertain.Load()),
	}
}

// busiestSecond returns the largest number of requests within one second.
func busiestSecond(arrivals []arrival) int {
	most, first := 0, 0
	for i := range arrivals {
		for arrivals[i].at.Sub(arrivals[first].at) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
