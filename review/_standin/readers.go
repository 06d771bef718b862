package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// drainTime is the bound drain_ms of the settings, and applyTime config_apply_ms.
	drainTime = 3 * time.Second
	applyTime = 3 * time.Second
	// drainRejection and configurationRejection are how long the store turns machines away
	// while a leaf drains and while a route is moved. It does so again and again for playTime.
	drainRejection         = 7 * time.Second
	configurationRejection = 5 * time.Second
	playTime               = 84 * time.Second
	// machines is the number of machines, and turnedAway that of those that the store turns
	// away: less than 0.35 of all.
	machines   = 20
	turnedAway = 6
)

// rosters are the services to which the operator moves a route by turns.
var rosters = []string{"roster-a", "roster-b"}

// readersCase is the state of a run.
type readersCase struct {
	record *record
	store  *store
	fleet  *fleet
	links  []*link
	depots []*leaf
	// rosters holds the leaf of each service of the moved route.
	rosters map[string]*leaf
	orders  *callers
	lists   *callers
	version int

	// late counts the requests that broke the rule. latest is the time from the
	// acknowledgement to the last of them.
	late   int
	latest time.Duration
}

// playReadersDrain lets leaves drain while the store turns its readers away.
func playReadersDrain(r *record, trouble bool) outcome {
	p, err := runReaders(r, trouble, (*readersCase).playDrain)
	if err != nil {
		return outcome{err: err}
	}
	return outcome{
		broken: p.late > 0,
		summary: fmt.Sprintf("from machines in touch, %d requests reached a draining leaf later than %s after its report was acknowledged, the last after %.1f s; %d of %d requests were served",
			p.late, drainTime, p.latest.Seconds(), p.served(), p.requested()),
	}
}

// playReadersConfiguration moves a route while the store turns its readers away.
func playReadersConfiguration(r *record, trouble bool) outcome {
	p, err := runReaders(r, trouble, (*readersCase).playConfiguration)
	if err != nil {
		return outcome{err: err}
	}
	return outcome{
		broken: p.late > 0,
		summary: fmt.Sprintf("machines in touch let the service of an older configuration run %d requests that were sent later than %s after a configuration was acknowledged, the last %.1f s after it; %d of %d requests were served",
			p.late, applyTime, p.latest.Seconds(), p.served(), p.requested()),
	}
}

// runReaders makes the store silent towards those machines that read it, and meanwhile does
// planned work. The other machines reach the store all the time.
func runReaders(r *record, trouble bool, work func(p *readersCase, rejected []int) error) (*readersCase, error) {
	s, err := startStore(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.server.Close() }()
	p := &readersCase{
		record:  r,
		store:   s,
		rosters: make(map[string]*leaf),
		version: 7,
	}
	defer p.stopLeaves()
	for range 4 {
		if err := p.addDepot(); err != nil {
			return nil, err
		}
	}
	for _, name := range rosters {
		if p.rosters[name], err = p.newLeaf("i-"+name, name, zones[0]); err != nil {
			return nil, err
		}
	}
	p.configure()
	for range machines {
		l, err := startLink(s.address)
		if err != nil {
			return nil, err
		}
		defer l.close()
		p.links = append(p.links, l)
	}
	if p.fleet, err = newFleet(r, machines, func(i int) string { return p.links[i].address }); err != nil {
		return nil, err
	}
	defer func() { p.fleet.stop(p.late > 0) }()
	if err := p.fleet.startAll(10 * time.Second); err != nil {
		return nil, err
	}
	p.orders = p.newCallers("order", 12)
	p.lists = p.newCallers("list", 6)
	defer p.orders.stop()
	defer p.lists.stop()
	time.Sleep(5 * time.Second)
	for end := time.Now().Add(playTime); time.Now().Before(end); {
		rejected := busiestLinks(p.links, stability)[:turnedAway]
		p.setSilent(rejected, trouble)
		err := work(p, rejected)
		p.setSilent(rejected, false)
		if err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *readersCase) served() int64 {
	return p.orders.served.Load() + p.lists.served.Load()
}

func (p *readersCase) requested() int64 {
	return p.orders.requests.Load() + p.lists.requests.Load()
}

func (p *readersCase) newLeaf(id, service, zone string) (*leaf, error) {
	l := &leaf{
		id:      id,
		service: service,
		zone:    zone,
		slots:   4,
		work:    20 * time.Millisecond,
		store:   p.store,
		record:  p.record,
	}
	return l, startLeaf(l)
}

func (p *readersCase) addDepot() error {
	number := len(p.depots) + 1
	l, err := p.newLeaf(fmt.Sprintf("i-depot-%d", number), "depot", zones[number%len(zones)])
	if err == nil {
		p.depots = append(p.depots, l)
	}
	return err
}

func (p *readersCase) stopLeaves() {
	for _, l := range p.depots {
		l.crash()
	}
	for _, l := range p.rosters {
		l.crash()
	}
}

func (p *readersCase) newCallers(name string, count int) *callers {
	c := &callers{
		name:   name,
		fleet:  p.fleet,
		record: p.record,
		method: http.MethodGet,
		path:   "/" + name + "/a",
		budget: 2 * time.Second,
		pause:  100 * time.Millisecond,
	}
	c.start(count)
	return c
}

// configure writes the next configuration, which moves a route to the other service, and
// returns when it was acknowledged.
func (p *readersCase) configure() time.Time {
	p.version += 3
	p.store.put(word("key-configuration"), configuration(p.version, []any{
		route("r-order", "/order/", "type-idempotent", "depot"),
		route("r-list", "/list/", "type-idempotent", p.listService()),
	}, []any{service("depot", 0), service(rosters[0], 0), service(rosters[1], 0)}))
	return time.Now()
}

// listService returns the service of the moved route.
func (p *readersCase) listService() string {
	return rosters[p.version%len(rosters)]
}

// setSilent sets whether the store answers machines.
func (p *readersCase) setSilent(rejected []int, silent bool) {
	for _, i := range rejected {
		p.record.add("store: turns %s away, with no answer: %t", p.fleet.machines[i].name, silent)
		p.links[i].silent.Store(silent)
	}
}

// passedBy reports whether a request was passed on by one of the machines.
func (p *readersCase) passedBy(id string, list []int) bool {
	_, from, _ := strings.Cut(id, "@")
	return slices.ContainsFunc(list, func(i int) bool { return p.fleet.machines[i].name == from })
}

// playDrain lets a leaf drain while the store turns machines away.
func (p *readersCase) playDrain(rejected []int) error {
	drained := p.depots[len(p.depots)-4]
	ackedAt := drained.drain()
	if err := p.addDepot(); err != nil {
		return err
	}
	time.Sleep(drainRejection)
	for _, a := range drained.arrivalsBetween(ackedAt.Add(drainTime), time.Now()) {
		if !p.passedBy(a.id, rejected) {
			p.late++
			p.latest = max(p.latest, a.at.Sub(ackedAt))
			p.record.add("leaf %s: request %s reached it %s after its report was acknowledged", drained.id, a.id, a.at.Sub(ackedAt))
		}
	}
	p.store.remove(drained.key())
	return nil
}

// playConfiguration moves a route while the store turns machines away.
func (p *readersCase) playConfiguration(rejected []int) error {
	before := p.rosters[p.listService()]
	ackedAt := p.configure()
	time.Sleep(configurationRejection)
	for _, a := range before.arrivalsBetween(ackedAt.Add(applyTime), time.Now()) {
		if !p.passedBy(a.id, rejected) && p.lists.sentAfter(a.id, ackedAt.Add(applyTime)) {
			p.late++
			p.latest = max(p.latest, a.at.Sub(ackedAt))
			p.record.add("leaf %s: runs request %s %s after the configuration was acknowledged", before.id, a.id, a.at.Sub(ackedAt))
		}
	}
	return nil
}

// busiestLinks returns the indexes of the links, those first over which most was sent to the
// store within a time.
func busiestLinks(links []*link, span time.Duration) []int {
	before := make([]int64, len(links))
	for i, l := range links {
		before[i] = l.sentBytes.Load()
	}
	time.Sleep(span)
	order := make([]int, len(links))
	sent := make([]int64, len(links))
	for i, l := range links {
		order[i] = i
		sent[i] = l.sentBytes.Load() - before[i]
	}
	slices.SortFunc(order, func(a, b int) int { return int(sent[b] - sent[a]) })
	return order
}
