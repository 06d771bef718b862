package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Users of the crowded gateway. All of them together send about as many requests per second
// as the site.
const (
	crowdUsers = 1300
	// crowdPause is the time between two requests of a user, below four fifths of the limit
	// on idle connections.
	crowdPause   = 11500 * time.Millisecond
	crowdTimeout = 4 * time.Second
	// crowdLength is how long the users send requests, and crowdLossAt when the other
	// machines are lost.
	crowdLength = 60 * time.Second
	crowdLossAt = 16 * time.Second
	// finalAnswerSlack is how long after its timeout a request may get its final answer.
	finalAnswerSlack = 500 * time.Millisecond
	// stability is how long a machine and the store must have been undisturbed.
	stability = 4 * time.Second
	// minUnanswered and maxUnansweredShare bound the requests without a final answer.
	minUnanswered      = 8
	maxUnansweredShare = 0.25
)

// crowdedGateway loses all machines but one. The users connect to the one that is left.
func crowdedGateway(l *lab) (bool, error) {
	const service = "archive"
	if err := l.startLeaves(service, 6, 8, 90*time.Millisecond); err != nil {
		return false, err
	}
	l.store.put(word("config-key"), configuration(7, []map[string]any{
		route("r-archive", "/archive/", service, word("non-idempotent"), crowdTimeout),
	}, []string{service}, 96))
	if err := l.startGateways(smallSite); err != nil {
		return false, err
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	start := time.Now()
	d := &directory{
		gateways: l.gateways,
	}
	var mu sync.Mutex
	var all []sent
	var users sync.WaitGroup
	for range crowdUsers {
		users.Go(func() {
			u := &user{
				lab:       l,
				directory: d,
			}
			defer u.disconnect()
			time.Sleep(time.Duration(rand.Int64N(int64(crowdPause))))
			for time.Since(start) < crowdLength {
				next := time.Now().Add(crowdPause)
				// The client waits longer than the route allows, to see when its answer comes.
				s := u.ask("POST", "/archive/pull", "deposit", 2*crowdTimeout)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(time.Until(next))
			}
		})
	}
	time.Sleep(time.Until(start.Add(crowdLossAt)))
	left := l.gateways[len(l.gateways)-1]
	if l.trouble {
		for _, g := range l.gateways[:len(l.gateways)-1] {
			g.signal(syscall.SIGKILL)
		}
	}
	users.Wait()
	judgedFrom := start.Add(crowdLossAt + stability)
	long, unanswered, answered := 0, 0, 0
	for _, s := range all {
		if s.address != left.frontAddress() || s.at.Before(judgedFrom) {
			continue
		}
		if s.answeredAfter > 0 {
			answered++
		}
		if s.answeredAfter > 0 && s.answeredAfter <= crowdTimeout {
			continue
		}
		long++
		if s.answeredAfter == 0 || s.answeredAfter > crowdTimeout+finalAnswerSlack {
			unanswered++
		}
	}
	l.rec.add("requests to %s from %.0f s on: %d answered, %d took longer than their timeout, %d of them without a final answer %v later",
		left.Name, (crowdLossAt + stability).Seconds(), answered, long, unanswered, finalAnswerSlack)
	return unanswered >= minUnanswered && float64(unanswered) > maxUnansweredShare*float64(long), nil
}
