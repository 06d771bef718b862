package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// deferralTime is how long the leaf in need wants nothing from a machine.
	deferralTime = 40 * time.Second
	// lapseTime is the silence after which the entry of a leaf is removed: three status report
	// intervals. absence is how much longer the leaf is silent.
	lapseTime = 3 * reportInterval
	absence   = time.Second
	// lapses is how often that happens.
	lapses = 4
	// deferralSlack is the time that a machine has to comply, and toleratedCalls the number of
	// requests that may still reach the leaf after that.
	deferralSlack  = 500 * time.Millisecond
	toleratedCalls = 2
	// rejectionTime is how long the leaf in need takes to turn a request away.
	rejectionTime = 60 * time.Millisecond
)

// playDeferral lets a leaf turn requests away for some time. Meanwhile it misses status
// reports, so that its entry in the store lapses, and comes back with the next report.
func playDeferral(r *record, trouble bool) outcome {
	s, err := startStore(r)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = s.server.Close() }()
	needsUntil := make(chan time.Time, 1)
	var wantsNothingUntil time.Time
	var leaves []*leaf
	for i := range 3 {
		l := &leaf{
			id:      fmt.Sprintf("i-depot-%d", i+1),
			service: "depot",
			zone:    zones[i%len(zones)],
			slots:   2,
			work:    20 * time.Millisecond,
			store:   s,
			record:  r,
		}
		if i == 0 {
			l.turnAway = func(_ *leaf, now time.Time, h http.Header) bool {
				select {
				case wantsNothingUntil = <-needsUntil:
				default:
				}
				if !now.Before(wantsNothingUntil) {
					return false
				}
				left := wantsNothingUntil.Sub(now).Seconds()
				h.Set(word("header-retry-after"), strconv.FormatFloat(left, 'f', 1, 64))
				return true
			}
		}
		if err := startLeaf(l); err != nil {
			return outcome{err: err}
		}
		defer l.crash()
		leaves = append(leaves, l)
	}
	s.put(word("key-configuration"), configuration(7,
		[]any{route("r-order", "/order/", "type-idempotent", "depot")}, []any{service("depot", 0)}))
	f, err := newFleet(r, 4, func(int) string { return s.address })
	if err != nil {
		return outcome{err: err}
	}
	broken := false
	defer func() { f.stop(broken) }()
	if err := f.startAll(10 * time.Second); err != nil {
		return outcome{err: err}
	}
	c := &callers{
		name:   "c",
		fleet:  f,
		record: r,
		method: http.MethodGet,
		path:   "/order/a",
		budget: 2 * time.Second,
		pause:  60 * time.Millisecond,
	}
	c.start(12)
	time.Sleep(8 * time.Second)
	inNeed := leaves[0]
	started := time.Now()
	needsUntil <- started.Add(deferralTime)
	for range lapses {
		time.Sleep(lapseTime)
		if trouble {
			s.remove(inNeed.key())
		}
		time.Sleep(absence)
		if trouble {
			inNeed.register()
		}
		time.Sleep(reportInterval)
	}
	time.Sleep(3 * time.Second)
	c.stop()
	worst, machine := 0, ""
	first := make(map[string]time.Time)
	late := make(map[string]int)
	for _, a := range inNeed.arrivalsBetween(started, started.Add(deferralTime)) {
		_, from, _ := strings.Cut(a.id, "@")
		switch told, known := first[from]; {
		case !known && !a.ran:
			first[from] = a.at.Add(rejectionTime)
		case known && a.at.After(told.Add(deferralSlack)):
			late[from]++
			if late[from] > worst {
				worst, machine = late[from], from
			}
		}
	}
	broken = worst > toleratedCalls
	return outcome{
		broken: broken,
		summary: fmt.Sprintf("up to %d requests of one machine (%s) reached the leaf that wanted none (2 are allowed); %d of %d requests were served",
			worst, machine, c.served.Load(), c.requests.Load()),
	}
}
