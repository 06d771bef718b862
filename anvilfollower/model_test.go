package anvilfollower_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilfollower"
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

// seed is that of the tests with one schedule.
const seed = 20261204

const (
	configurationPrefix = "configuration/"
	leafPrefix          = "leafs/"
	configurationKey    = configurationPrefix + "now"
	// storeDelay is how long the store takes for an answer, hopDelay a node.
	storeDelay = 4 * time.Millisecond
	hopDelay   = time.Millisecond
	// callTimeout is how long a call of the store waits for an answer.
	callTimeout = 1500 * time.Millisecond
	// gossipDelay is how old the members' revisions are at most.
	gossipDelay = time.Second
)

var (
	errRefused = errors.New("the store refuses")
	errDown    = errors.New("the node is down")
)

// trouble is what the store does wrong towards a node.
type trouble int

const (
	troubleNone trouble = iota
	// troubleSilent keeps watches silent, although they go on from the right
	// revision afterwards.
	troubleSilent
	// troubleSkipping lets watches go on from a revision whose change they have not
	// delivered.
	troubleSkipping
	// troubleLate delays answers, so that they are old when they arrive.
	troubleLate
	// troubleRefused refuses all calls.
	troubleRefused
	// troubleHanging never answers what is asked.
	troubleHanging
	troubles
)

// change is a change of the store.
type change struct {
	anvilmirror.Item
	at time.Time
}

// store is the platform's store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]anvilmirror.Item
	history  []change
	// forgotten is the revision up to which the history is gone.
	forgotten uint64
	changed   chan struct{}
	trouble   map[string]trouble
	random    *rand.Rand
	reads     int
	// copyTime is how long the store's link takes for a copy, and linkFree when it is
	// free again.
	copyTime time.Duration
	linkFree time.Time
}

func newStore(seed uint64) *store {
	return &store{
		revision: 1,
		items:    make(map[string]anvilmirror.Item),
		changed:  make(chan struct{}),
		trouble:  make(map[string]trouble),
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// write puts or deletes an item and returns the revision.
func (s *store) write(key string, deleted bool) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := anvilmirror.Item{
		Key:      key,
		Revision: s.revision,
		Deleted:  deleted,
	}
	if deleted {
		delete(s.items, key)
	} else {
		i.Value = fmt.Appendf(nil, "%d", s.revision)
		s.items[key] = i
	}
	s.history = append(s.history, change{
		Item: i,
		at:   time.Now(),
	})
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// forget drops the history, as a compaction does.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgotten = s.revision
}

func (s *store) setTrouble(node string, t trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble[node] = t
}

// calls returns the number of calls so far.
func (s *store) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// begin counts a call and returns what is wrong with it.
func (s *store) begin(node string) (trouble, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	t := s.trouble[node]
	if t == troubleLate {
		return t, time.Duration(s.random.Int64N(int64(1400 * time.Millisecond)))
	}
	return t, storeDelay
}

func (s *store) readAll(ctx context.Context, node, prefix string) (anvilmirror.Changes, error) {
	t, delay := s.begin(node)
	if t == troubleHanging {
		<-ctx.Done()
		return anvilmirror.Changes{}, ctx.Err()
	}
	s.mu.Lock()
	c := anvilmirror.Changes{
		CompleteRevision: s.revision,
		Snapshot:         true,
	}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			c.Items = append(c.Items, i)
		}
	}
	now := time.Now()
	if s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(s.copyTime)
	delay += s.linkFree.Sub(now)
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return anvilmirror.Changes{}, err
	}
	if t == troubleRefused {
		return anvilmirror.Changes{}, errRefused
	}
	return c, nil
}

func (s *store) watch(ctx context.Context, node, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error) {
	t, delay := s.begin(node)
	if t == troubleHanging {
		<-ctx.Done()
		return anvilmirror.Changes{}, ctx.Err()
	}
	if err := sleep(ctx, delay); err != nil {
		return anvilmirror.Changes{}, err
	}
	if t == troubleRefused {
		return anvilmirror.Changes{}, errRefused
	}
	limited, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		t = s.trouble[node]
		gone := after < s.forgotten && t != troubleSilent && t != troubleSkipping
		c := anvilmirror.Changes{
			WatchRevision: s.revision,
		}
		for _, h := range s.history {
			if h.Revision > after && strings.HasPrefix(h.Key, prefix) {
				c.Items = append(c.Items, h.Item)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case gone:
			return anvilmirror.Changes{}, anvilfollower.HistoryGone.New("after %d", after)
		case t == troubleSkipping && len(c.Items) > 0:
			c.Items = nil
			return c, sleep(ctx, 50*time.Millisecond)
		case t != troubleSilent && len(c.Items) > 0:
			return c, nil
		}
		select {
		case <-changed:
		case <-limited.Done():
			if t == troubleSilent {
				c.WatchRevision = after
			}
			c.Items = nil
			return c, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fleet is the nodes that follow a store.
type fleet struct {
	ctx    context.Context
	store  *store
	random *rand.Rand
	tasks  sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	// gossip is what all nodes know of each other.
	gossip []anvilmodel.Member
	// seen is the same as each node sees it, itself first.
	seen map[int][]anvilmodel.Member
}

// node is one node and its copies.
type node struct {
	name    string
	address netip.AddrPort
	set     *anvilfollower.Set
	cancel  context.CancelFunc
	// regressed is the first change that was older than what was held before.
	regressed string
	versions  map[string]uint64
	contents  map[string]string
	// abrupt are the removals that were not said to be a lapse.
	abrupt int
	// departed are the leafs that the node knows to leave.
	departed map[anvilmodel.LeafName]bool
}

func newFleet(ctx context.Context, s *store, size int, random *rand.Rand) *fleet {
	f := &fleet{
		ctx:    ctx,
		store:  s,
		random: random,
		nodes:  make([]*node, size),
	}
	for i := range size {
		f.start(i)
	}
	f.spread()
	f.tasks.Go(func() {
		for ctx.Err() == nil {
			_ = sleep(ctx, gossipDelay)
			f.spread()
		}
	})
	return f
}

// start starts a node without a copy, in place of the one that was there.
func (f *fleet) start(index int) {
	name := fmt.Sprint("vm-", index)
	ctx, cancel := context.WithCancel(f.ctx)
	n := &node{
		name:     name,
		address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(index / 250), byte(index%250 + 1)}), 7000),
		cancel:   cancel,
		versions: make(map[string]uint64),
		contents: make(map[string]string),
		departed: make(map[anvilmodel.LeafName]bool),
	}
	follower := func(prefix string) *anvilfollower.Follower {
		config := anvilfollower.Config{
			Prefix: prefix,
			ReadAll: func(ctx context.Context, prefix string) (anvilmirror.Changes, error) {
				ctx, cancel := context.WithTimeout(ctx, callTimeout)
				defer cancel()
				return f.store.readAll(ctx, name, prefix)
			},
			Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error) {
				ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
				defer cancel()
				return f.store.watch(ctx, name, prefix, after, wait)
			},
			FetchChanges: f.published,
			Members:      func() []anvilmodel.Member { return f.members(index) },
			Apply:        n.apply,
			CountRead:    func(string, bool) {},
			Random:       rand.New(rand.NewPCG(f.random.Uint64(), 0)),
			Log:          zerolog.Nop(),
		}
		if prefix == leafPrefix {
			config.Departures = n.departures
			config.MergeDepartures = n.noteDepartures
		}
		return anvilfollower.New(config)
	}
	n.set = &anvilfollower.Set{
		Configuration: follower(configurationPrefix),
		Leaves:        follower(leafPrefix),
	}
	f.mu.Lock()
	f.nodes[index] = n
	f.mu.Unlock()
	f.tasks.Go(func() { n.set.Run(ctx) })
}

// restart kills a node and starts it again.
func (f *fleet) restart(index int) {
	f.nodes[index].cancel()
	f.start(index)
	f.mu.Lock()
	f.gossip[index].ConfigRevision = 0
	clear(f.seen)
	// The others are known after the next exchange.
	f.seen[index] = slices.Clone(f.gossip[index : index+1])
	f.mu.Unlock()
}

// apply checks that no item goes back. The set's locks keep batches of a prefix
// apart; the two prefixes have different keys, but share the maps.
func (n *node) apply(b anvilfollower.Batch) {
	applying.Lock()
	defer applying.Unlock()
	for _, i := range b.Items {
		if i.Revision < n.versions[i.Key] && n.regressed == "" {
			n.regressed = fmt.Sprintf("%s from %d to %d", i.Key, n.versions[i.Key], i.Revision)
		}
		n.versions[i.Key] = i.Revision
		delete(n.contents, i.Key)
		if i.Deleted && !b.AfterOutage {
			n.abrupt++
		}
		if !i.Deleted {
			n.contents[i.Key] = string(i.Value)
		}
	}
}

var applying sync.Mutex

func (n *node) departures() []anvilmodel.Departure {
	applying.Lock()
	defer applying.Unlock()
	var told []anvilmodel.Departure
	for id := range n.departed {
		told = append(told, anvilmodel.Departure{
			Leaf: id,
		})
	}
	return told
}

func (n *node) noteDepartures(told []anvilmodel.Departure) bool {
	applying.Lock()
	defer applying.Unlock()
	before := len(n.departed)
	for _, d := range told {
		n.departed[d.Leaf] = true
	}
	return len(n.departed) > before
}

// published asks a node over the network.
func (f *fleet) published(ctx context.Context, address netip.AddrPort, q anvilpeer.PublishedQuestion) (anvilpeer.Published, error) {
	if err := sleep(ctx, hopDelay); err != nil {
		return anvilpeer.Published{}, err
	}
	f.mu.Lock()
	at := slices.IndexFunc(f.nodes, func(n *node) bool { return n.address == address })
	n := f.nodes[at]
	f.mu.Unlock()
	follower := n.set.Configuration
	if q.Prefix == leafPrefix {
		follower = n.set.Leaves
	}
	p := follower.ChangesSince(ctx, q)
	if err := sleep(ctx, hopDelay); err != nil {
		return anvilpeer.Published{}, errDown
	}
	p.After = q.After
	return p, nil
}

// spread tells all nodes which revisions the others hold.
func (f *fleet) spread() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gossip = nil
	f.seen = make(map[int][]anvilmodel.Member)
	for _, n := range f.nodes {
		f.gossip = append(f.gossip, anvilmodel.Member{
			Name:           anvilmodel.VMName(n.name),
			PeerAddress:    n.address,
			Status:         anvilmodel.MemberAlive,
			ConfigRevision: n.set.Configuration.LatestRevision(),
		})
	}
}

// members returns the fleet as a node sees it, itself first.
func (f *fleet) members(index int) []anvilmodel.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index >= len(f.gossip) {
		return nil
	}
	if f.seen[index] == nil {
		members := append([]anvilmodel.Member{f.gossip[index]}, f.gossip[:index]...)
		f.seen[index] = append(members, f.gossip[index+1:]...)
	}
	return f.seen[index]
}

// held returns what a node holds of a key.
func (n *node) held(key string) uint64 {
	applying.Lock()
	defer applying.Unlock()
	return n.versions[key]
}

// wentBack returns the first change that was older than what was held before.
func (n *node) wentBack() string {
	applying.Lock()
	defer applying.Unlock()
	return n.regressed
}

// stored returns the contents of the store.
func (s *store) stored() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]string, len(s.items))
	for key, i := range s.items {
		all[key] = string(i.Value)
	}
	return all
}
