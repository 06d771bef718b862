package main

import (
	"maps"
	"sync"
	"time"
)

const (
	busyUsers = 60
	busyPause = 500 * time.Millisecond
	// busyFor is how long the leaf accepts nothing, and busyFrom when that begins.
	busyFrom = 5 * time.Second
	busyFor  = 40 * time.Second
	// otherWrites is how often another writer writes the entry of the leaf, and
	// otherWriteInterval the time between two writes. The leaf writes its next report within
	// reportInterval.
	otherWrites        = 4
	otherWriteInterval = 8 * time.Second
	reportInterval     = 1200 * time.Millisecond
	// A machine may send maxBusyRequests from busySlack after the leaf has turned a request of
	// it away.
	busySlack       = 500 * time.Millisecond
	maxBusyRequests = 2
)

// busyLeaf lets one leaf of three turn all requests away for a stated time. Meanwhile another
// writer writes its entry, with a service that the configuration does not name.
func busyLeaf(l *lab) (bool, error) {
	const service = "archive"
	if err := l.startLeaves(service, 3, 8, 20*time.Millisecond); err != nil {
		return false, err
	}
	l.store.put(word("config-key"), configuration(7, []map[string]any{
		route("r-archive", "/archive/", service, "idempotent", 4*time.Second),
	}, []string{service}, 96))
	if err := l.startGateways(smallSite); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	start := time.Now()
	end := start.Add(busyFrom + busyFor)
	d := &directory{
		gateways: l.gateways,
	}
	var mu sync.Mutex
	gatewayOf := make(map[string]string)
	var users sync.WaitGroup
	for range busyUsers {
		users.Go(func() {
			u := &user{
				lab:       l,
				directory: d,
			}
			defer u.disconnect()
			for time.Now().Before(end) {
				next := time.Now().Add(busyPause)
				s := u.ask("GET", "/archive/pull", "", 4*time.Second)
				mu.Lock()
				gatewayOf[s.id] = s.address
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		})
	}
	time.Sleep(time.Until(start.Add(busyFrom)))
	busy := l.leaves[0]
	busy.refuse(end)
	key := word("leaf-prefix") + busy.name
	for range otherWrites {
		time.Sleep(otherWriteInterval)
		if !l.trouble {
			continue
		}
		other := maps.Clone(busy.entry("ready"))
		other["service"] = "unlisted"
		l.store.put(key, other)
		time.Sleep(reportInterval)
		l.store.put(key, busy.entry("ready"))
	}
	users.Wait()
	broken, sampled := false, false
	for _, g := range l.gateways {
		if !g.running() {
			return false, errEnded
		}
		var first time.Time
		times := busy.refusals(gatewayOf, g.frontAddress())
		for _, at := range times {
			if first.IsZero() || at.Before(first) {
				first = at
			}
		}
		late := 0
		for _, at := range times {
			if at.Sub(first) > busySlack {
				late++
			}
		}
		l.rec.add("leaf %s got %d requests from %s, %d of them later than %v after the first answer with Retry-After", busy.name, len(times), g.Name, late, busySlack)
		broken = broken || late > maxBusyRequests
		sampled = sampled || len(times) > 0
	}
	if !sampled {
		return false, errNoSample
	}
	return broken, nil
}

// refusals returns when the leaf turned requests away that were sent to the gateway.
func (f *leaf) refusals(gatewayOf map[string]string, address string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	var times []time.Time
	for id, at := range f.refused {
		if gatewayOf[id] == address {
			times = append(times, at)
		}
	}
	return times
}
