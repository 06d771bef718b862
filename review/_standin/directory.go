package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"
)

const (
	// stability is the bound of the settings after which a machine is in touch.
	stability = 4 * time.Second
	// directorySlack is what the rule adds to it for the answers of directories.
	directorySlack = 3 * time.Second
	// toleratedAnswers is the number of wrong answers that the rule allows.
	toleratedAnswers = 3
	// outage is how long the killed machines stay away.
	outage = 30 * time.Second
)

// playDirectory kills all machines but the last at once. Its directory must soon stop
// naming them.
func playDirectory(r *record, trouble bool) outcome {
	s, err := startStore(r)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = s.server.Close() }()
	var leaves []*leaf
	for i := range 4 {
		l := &leaf{
			id:      fmt.Sprintf("i-depot-%d", i+1),
			service: "depot",
			zone:    zones[i%len(zones)],
			slots:   2,
			work:    20 * time.Millisecond,
			store:   s,
			record:  r,
		}
		if err := startLeaf(l); err != nil {
			return outcome{err: err}
		}
		defer func() { _ = l.server.Close() }()
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
		pause:  150 * time.Millisecond,
	}
	c.start(8)
	time.Sleep(10 * time.Second)
	survivor := f.machines[len(f.machines)-1]
	killed := f.machines[:len(f.machines)-1]
	if count, err := strconv.Atoi(os.Getenv("KILLS")); err == nil && count < len(killed) {
		killed = killed[:max(count, 0)]
	}
	killedAt := time.Now()
	if trouble {
		for _, m := range killed {
			f.signal(m, syscall.SIGKILL)
		}
	}
	time.Sleep(outage)
	c.stop()
	answers := c.answersAfter(survivor, killedAt.Add(stability+directorySlack))
	wrong := 0
	last := time.Duration(0)
	if trouble {
		for _, a := range answers {
			namesKilled := slices.ContainsFunc(killed, func(m *machine) bool { return slices.Contains(a.addresses, m.front()) })
			if namesKilled && slices.Contains(a.addresses, survivor.front()) {
				wrong++
				last = a.at.Sub(killedAt)
			}
		}
	}
	broken = wrong > toleratedAnswers
	return outcome{
		broken: broken,
		summary: fmt.Sprintf("later than 7 s after the kill, %d of %d answers of the directory of %s named a killed machine (3 are allowed), the last %.1f s after the kill; %d of %d requests were served, %d attempts found no one at an address",
			wrong, len(answers), survivor.name, last.Seconds(), c.served.Load(), c.requests.Load(), c.unconnected.Load()),
	}
}
