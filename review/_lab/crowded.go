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
	crowdLength = 70 * time.Second
	crowdLossAt = 16 * time.Second
	// finalAnswerSlack is how long after its timeout a request may get its final answer.
	finalAnswerSlack = 500 * time.Millisecond
	// stability is how long a machine and the store must have been undisturbed.
	stability = 4 * time.Second
	// minUnanswered and maxUnansweredShare bound the requests without a final answer.
	minUnanswered      = 8
	maxUnansweredShare = 0.25
)

// crowd starts the site and lets the users send requests for crowdLength. After crowdLossAt all
// machines but one are lost. The connection of a user lasts for a session, whose length the
// function returns. crowd returns all requests and the machine that is left.
func crowd(l *lab, timeout time.Duration, session func() time.Duration) ([]sent, *gateway, time.Time, error) {
	const service = "archive"
	if err := l.startLeaves(service, 6, 8, 90*time.Millisecond); err != nil {
		return nil, nil, time.Time{}, err
	}
	l.store.put(word("config-key"), configuration(7, []map[string]any{
		route("r-archive", "/archive/", service, word("non-idempotent"), crowdTimeout),
	}, []string{service}, 96))
	if err := l.startGateways(smallSite); err != nil {
		return nil, nil, time.Time{}, err
	}
	if err := l.awaitReady(); err != nil {
		return nil, nil, time.Time{}, err
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
			sessionEnd := time.Now().Add(session())
			for time.Since(start) < crowdLength {
				next := time.Now().Add(crowdPause)
				s := u.ask("POST", "/archive/pull", "deposit", timeout)
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(time.Until(next))
				if time.Until(sessionEnd) < 0 {
					u.disconnect()
					sessionEnd = time.Now().Add(session())
				}
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
	if !left.running() {
		return nil, nil, time.Time{}, errEnded
	}
	return all, left, start.Add(crowdLossAt + stability), nil
}

// crowdedGateway loses all machines but one. The users connect to the one that is left, and
// keep their connections. The clients wait longer than the route allows, to see when the final
// answer comes.
func crowdedGateway(l *lab) (bool, error) {
	all, left, judgedFrom, err := crowd(l, 2*crowdTimeout, func() time.Duration { return time.Hour })
	if err != nil {
		return false, err
	}
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
	if answered == 0 {
		return false, errNoSample
	}
	return unanswered >= minUnanswered && float64(unanswered) > maxUnansweredShare*float64(long), nil
}

const (
	// goneSlack is how long after its client has closed the connection a request may still
	// reach a leaf, and maxGone the number of requests that may come later.
	goneSlack = 500 * time.Millisecond
	maxGone   = 10
	// minSession and sessionSpread give the lengths of the users' sessions.
	minSession    = 30 * time.Second
	sessionSpread = 20 * time.Second
)

// lateRequests loses all machines but one, like crowdedGateway. Sessions of users end, and new
// users come. The clients close the connection when their time budget is over.
func lateRequests(l *lab) (bool, error) {
	all, left, judgedFrom, err := crowd(l, crowdTimeout, func() time.Duration {
		return minSession + time.Duration(rand.Int64N(int64(sessionSpread)))
	})
	if err != nil {
		return false, err
	}
	gaveUp, late, answered := 0, 0, 0
	var latest time.Duration
	for _, s := range all {
		if s.address != left.frontAddress() || s.at.Before(judgedFrom) {
			continue
		}
		if s.closedAt.IsZero() {
			answered++
			continue
		}
		gaveUp++
		for _, f := range l.leaves {
			for _, at := range f.runs(s.id) {
				if after := at.Sub(s.closedAt); after > goneSlack {
					late++
					latest = max(latest, after)
				}
			}
		}
	}
	l.rec.add("requests to %s from %.0f s on whose client closed the connection without an answer: %d; %d of them ran more than %v after that, the latest after %.1f s",
		left.Name, (crowdLossAt + stability).Seconds(), gaveUp, late, goneSlack, latest.Seconds())
	if answered == 0 {
		return false, errNoSample
	}
	return late > maxGone, nil
}
