package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// hostName is the host of all routes.
	hostName = "orders.example"
	// directoryTimeout is how long a client waits for one directory, and connectTimeout for
	// a new connection.
	directoryTimeout = time.Second
	connectTimeout   = time.Second
)

// directoryAnswer is an answer of a directory.
type directoryAnswer struct {
	at        time.Time
	machine   *machine
	addresses []string
}

// callers are the clients of a case. They ask the directories for addresses and send
// requests one after the other.
type callers struct {
	// name begins the names of the requests.
	name   string
	fleet  *fleet
	record *record
	// method and path are those of the requests.
	method string
	path   string
	// budget is the time budget of a request, and pause the time between two requests of a
	// client.
	budget time.Duration
	pause  time.Duration

	mu      sync.Mutex
	answers []directoryAnswer
	// requests and served count requests, and unconnected the attempts that found nothing at
	// an address.
	requests    atomic.Int64
	served      atomic.Int64
	unconnected atomic.Int64
	// uncertain counts the attempts whose answer does not say whether they have run.
	uncertain atomic.Int64
	// sentAt holds when each attempt was sent.
	sentAt  sync.Map
	stopped chan struct{}
	running sync.WaitGroup
}

// start starts clients, spread over the zones.
func (c *callers) start(count int) {
	c.stopped = make(chan struct{})
	for i := range count {
		c.running.Go(func() { c.run(i, zones[i%len(zones)]) })
	}
}

func (c *callers) stop() {
	close(c.stopped)
	c.running.Wait()
}

// run sends requests until the clients are stopped.
func (c *callers) run(number int, zone string) {
	client := &http.Client{
		Transport: &http.Transport{},
	}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(uint64(number), 1))
	var addresses []string
	var expires time.Time
	for i := 0; ; i++ {
		select {
		case <-c.stopped:
			return
		case <-time.After(c.pause):
		}
		if time.Now().After(expires) {
			if found, lifetime := c.resolve(zone); len(found) > 0 {
				addresses = found
				expires = time.Now().Add(lifetime)
			}
		}
		// Clients do not use an address again that has failed them since the last answer of a
		// directory.
		addresses = c.request(client, random, fmt.Sprintf("%s%d-%d", c.name, number, i), addresses)
	}
}

// resolve asks up to three directories for addresses, the nearest first.
func (c *callers) resolve(zone string) ([]string, time.Duration) {
	order := slices.Clone(c.fleet.machines)
	slices.SortStableFunc(order, func(a, b *machine) int {
		return strings.Compare(distance(a.zone, zone), distance(b.zone, zone))
	})
	// Machines of the last places take turns, so that a client reaches all of them.
	rand.Shuffle(len(order)-1, func(i, j int) { order[i+1], order[j+1] = order[j+1], order[i+1] })
	for _, m := range order[:min(len(order), 3)] {
		if addresses, lifetime, ok := c.ask(m, zone); ok {
			return addresses, lifetime
		}
	}
	return nil, 0
}

func distance(a, b string) string {
	if a == b {
		return "near"
	}
	return "remote"
}

// ask asks one directory.
func (c *callers) ask(m *machine, zone string) ([]string, time.Duration, bool) {
	client := &http.Client{
		Timeout: directoryTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	query := url.Values{
		"name":   {hostName},
		"region": {"scot"},
		"zone":   {zone},
	}
	resp, err := client.Get("http://" + m.directory() + word("path-resolve") + "?" + query.Encode())
	if err != nil {
		return nil, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	var reply map[string]any
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return nil, 0, false
	}
	var addresses []string
	list, _ := reply["addrs"].([]any)
	for _, entry := range list {
		if text, ok := entry.(string); ok {
			addresses = append(addresses, text)
		}
	}
	lifetime, _ := reply["ttl_s"].(float64)
	if len(addresses) == 0 || lifetime <= 0 {
		return nil, 0, false
	}
	c.mu.Lock()
	c.answers = append(c.answers, directoryAnswer{
		at:        time.Now(),
		machine:   m,
		addresses: addresses,
	})
	c.mu.Unlock()
	c.record.add("directory of %s: names %s", m.name, strings.Join(addresses, " "))
	return addresses, time.Duration(lifetime * float64(time.Second)), true
}

// request sends a request, and repeats it once at another address if it is idempotent. It
// returns the addresses that have not failed.
func (c *callers) request(client *http.Client, random *rand.Rand, id string, addresses []string) []string {
	deadline := time.Now().Add(c.budget)
	left := slices.Clone(addresses)
	c.requests.Add(1)
	attempts := 2
	if c.method != http.MethodGet {
		attempts = 1
	}
	for attempt := range attempts {
		if len(left) == 0 {
			return left
		}
		i := random.IntN(len(left))
		name := id + "-" + strconv.Itoa(attempt)
		if m := c.fleet.machineAt(left[i]); m != nil {
			// The name tells which machine passes the attempt on.
			name += "@" + m.name
		}
		if c.attempt(client, left[i], name, deadline) {
			return left
		}
		left = slices.Delete(left, i, i+1)
	}
	return left
}

// attempt sends one attempt and reports whether it was served.
func (c *callers) attempt(client *http.Client, address, id string, deadline time.Time) bool {
	remaining := time.Until(deadline)
	if remaining <= time.Millisecond {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, http.NoBody)
	if err != nil {
		return false
	}
	req.Host = hostName
	req.Header.Set(word("header-request"), id)
	req.Header.Set(word("header-timeout"), strconv.FormatInt(remaining.Milliseconds(), 10))
	c.sentAt.Store(id, time.Now())
	resp, err := client.Do(req)
	if err != nil {
		c.unconnected.Add(1)
		c.record.add("client: request %s to %s: %v", id, address, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	served := err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get(word("header-signature")) != ""
	switch {
	case served:
		c.served.Add(1)
	case resp.StatusCode == http.StatusBadGateway, resp.StatusCode == http.StatusGatewayTimeout:
		c.uncertain.Add(1)
	}
	c.record.add("client: request %s to %s: %d, %d bytes", id, address, resp.StatusCode, len(body))
	return served
}

// sentAfter reports whether an attempt was sent after a moment.
func (c *callers) sentAfter(id string, after time.Time) bool {
	at, ok := c.sentAt.Load(id)
	return ok && at.(time.Time).After(after)
}

// answersAfter returns the answers that a machine's directory gave after a moment.
func (c *callers) answersAfter(m *machine, after time.Time) []directoryAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var selected []directoryAnswer
	for _, a := range c.answers {
		if a.machine == m && a.at.After(after) {
			selected = append(selected, a)
		}
	}
	return selected
}
