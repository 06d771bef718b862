package anvilfollower_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
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
	"anvilbridge/anvilquarantine"
)

// seed is the seed of the tests that run a single schedule.
const seed = 20261204

const (
	configurationPrefix = "configuration/"
	leafPrefix          = "leafs/"
	configurationKey    = configurationPrefix + "now"
	// storeDelay is the store's response time, networkDelay the one-way delay between two
	// nodes.
	storeDelay   = 4 * time.Millisecond
	networkDelay = time.Millisecond
	// callTimeout is the timeout of a call of the store.
	callTimeout = 1500 * time.Millisecond
	// hiddenCopies is how many members there are for each one that is known to have a copy.
	hiddenCopies = 20
	// gossipInterval is the time between two exchanges of the nodes' revisions, and so their
	// maximum age.
	gossipInterval = time.Second
)

var (
	errRefused  = errors.New("store refused the call")
	errNodeDown = errors.New("node is down")
)

// fault is a fault of the store towards a node.
type fault int

const (
	faultNone fault = iota
	// faultSilentWatch makes watches deliver nothing. Afterwards they continue from the
	// right revision.
	faultSilentWatch
	// faultSkippingWatch makes watches continue from a revision whose change they have not
	// delivered.
	faultSkippingWatch
	// faultDelayed delays responses, so that they are outdated when they arrive.
	faultDelayed
	// faultRefused makes all calls fail.
	faultRefused
	// faultHanging makes all calls hang until they are cancelled.
	faultHanging
	faultCount
)

// change is an entry of the store's history.
type change struct {
	anvilmirror.Item
	at time.Time
}

// store simulates the platform's store.
type store struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	items    map[string]anvilmirror.Item
	history  []change
	// droppedRevision is the revision up to which the history has been dropped.
	droppedRevision uint64
	changed         chan struct{}
	faults          map[string]fault
	random          *rand.Rand
	callCount       int
	nodeCalls       map[string]int
	// transferTime is how long the store's link takes to transfer a copy, linkFreeAt when
	// the link is idle again.
	transferTime time.Duration
	linkFreeAt   time.Time
}

func newStore(seed uint64) *store {
	return &store{
		era:       1,
		revision:  1,
		items:     make(map[string]anvilmirror.Item),
		changed:   make(chan struct{}),
		faults:    make(map[string]fault),
		nodeCalls: make(map[string]int),
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// write sets or deletes an item and returns the new version.
func (s *store) write(key string, deleted bool) anvilmirror.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := anvilmirror.Item{
		Key:      key,
		Revision: s.revision,
		Deleted:  deleted,
	}
	if deleted {
		delete(s.items, key)
	} else {
		item.Value = fmt.Appendf(nil, "%d in era %d", s.revision, s.era)
		s.items[key] = item
	}
	s.history = append(s.history, change{
		Item: item,
		at:   time.Now(),
	})
	close(s.changed)
	s.changed = make(chan struct{})
	return anvilmirror.Version{
		Era:      s.era,
		Revision: s.revision,
	}
}

// restore restores the store from a copy of the given time, cuts the watches, and returns the
// keys whose last writes are lost, in the order of these writes, and whether each was deleted.
func (s *store) restore(copied time.Time) []anvilmirror.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := slices.IndexFunc(s.history, func(c change) bool { return c.at.After(copied) })
	if kept < 0 {
		kept = len(s.history)
	}
	lost := make(map[string]anvilmirror.Item)
	for _, c := range s.history[kept:] {
		lost[c.Key] = c.Item
		s.revision = min(s.revision, c.Revision-1)
	}
	s.history = slices.Clip(s.history[:kept])
	s.droppedRevision = min(s.droppedRevision, s.revision)
	s.era++
	clear(s.items)
	for _, c := range s.history {
		if c.Deleted {
			delete(s.items, c.Key)
		} else {
			s.items[c.Key] = c.Item
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return slices.SortedFunc(maps.Values(lost), func(a, b anvilmirror.Item) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
}

// dropHistory drops the history, as a compaction does.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedRevision = s.revision
}

// setFault sets the fault of all further calls of a node.
func (s *store) setFault(node string, kind fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[node] = kind
}

// calls returns the number of calls so far.
func (s *store) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

// callsByNode returns the number of calls of each node so far.
func (s *store) callsByNode() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.nodeCalls)
}

// beginCall counts a call and returns its fault and its delay.
func (s *store) beginCall(node string) (fault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callCount++
	s.nodeCalls[node]++
	kind := s.faults[node]
	if kind == faultDelayed {
		return kind, time.Duration(s.random.Int64N(int64(1400 * time.Millisecond)))
	}
	return kind, storeDelay
}

// readAll returns a snapshot of the items of a prefix.
func (s *store) readAll(ctx context.Context, node, prefix string) (anvilmirror.Changes, error) {
	kind, delay := s.beginCall(node)
	if kind == faultHanging {
		<-ctx.Done()
		return anvilmirror.Changes{}, ctx.Err()
	}
	s.mu.Lock()
	c := anvilmirror.Changes{
		Era:              s.era,
		CompleteRevision: s.revision,
		Snapshot:         true,
	}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			c.Items = append(c.Items, item)
		}
	}
	now := time.Now()
	if s.linkFreeAt.Before(now) {
		s.linkFreeAt = now
	}
	s.linkFreeAt = s.linkFreeAt.Add(s.transferTime)
	delay += s.linkFreeAt.Sub(now)
	s.mu.Unlock()
	if err := sleep(ctx, delay); err != nil {
		return anvilmirror.Changes{}, err
	}
	if kind == faultRefused {
		return anvilmirror.Changes{}, errRefused
	}
	return c, nil
}

// watch waits for changes of a prefix after a revision.
func (s *store) watch(ctx context.Context, node, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error) {
	kind, delay := s.beginCall(node)
	if kind == faultHanging {
		<-ctx.Done()
		return anvilmirror.Changes{}, ctx.Err()
	}
	if err := sleep(ctx, delay); err != nil {
		return anvilmirror.Changes{}, err
	}
	if kind == faultRefused {
		return anvilmirror.Changes{}, errRefused
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			return anvilmirror.Changes{}, errRefused
		}
		kind = s.faults[node]
		historyGone := (after < s.droppedRevision || after > s.revision) && kind != faultSilentWatch && kind != faultSkippingWatch
		c := anvilmirror.Changes{
			Era:           s.era,
			WatchRevision: s.revision,
		}
		for _, change := range s.history {
			if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
				c.Items = append(c.Items, change.Item)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case historyGone:
			return anvilmirror.Changes{}, anvilfollower.HistoryGone.New("changes after revision %d have been dropped", after)
		case kind == faultSkippingWatch && len(c.Items) > 0:
			c.Items = nil
			return c, sleep(ctx, 50*time.Millisecond)
		case kind != faultSilentWatch && len(c.Items) > 0:
			return c, nil
		}
		select {
		case <-changed:
		case <-waitCtx.Done():
			if kind == faultSilentWatch {
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

// fleet is a fleet of nodes that follow the store.
type fleet struct {
	ctx    context.Context
	store  *store
	random *rand.Rand
	tasks  sync.WaitGroup

	mu    sync.Mutex
	nodes []*node
	// members holds the members as of the last exchange.
	members []anvilmodel.Member
	// views holds the members as each node lists them, itself first.
	views map[int][]anvilmodel.Member
	// hideCopies makes each node list all but a few of the others without a copy, as in a
	// large fleet whose states take long to spread.
	hideCopies bool
	// isolated is the node whose polls, and the polls of it, fail; empty for none.
	isolated string
}

// node is a node with its copies.
type node struct {
	name    string
	address netip.AddrPort
	set     *anvilfollower.Set
	cancel  context.CancelFunc
	// regression describes the first change that replaced a newer one; empty if none did.
	regression string
	versions   map[string]anvilmirror.Version
	contents   map[string]string
	// removalsWithoutGrace counts the deletions that were not marked as following an
	// outage.
	removalsWithoutGrace int
	// departing holds the leaves whose departure the node has recorded.
	departing map[anvilmodel.LeafName]bool
	// requests holds the requests under which leaves have crashed.
	requests *anvilquarantine.Registry
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
	f.exchangeGossip()
	f.tasks.Go(func() {
		for ctx.Err() == nil {
			_ = sleep(ctx, gossipInterval)
			f.exchangeGossip()
		}
	})
	return f
}

// start starts a node without a copy and replaces the previous node of the index.
func (f *fleet) start(index int) {
	name := fmt.Sprint("vm-", index)
	ctx, cancel := context.WithCancel(f.ctx)
	n := &node{
		name:      name,
		address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(index / 250), byte(index%250 + 1)}), 7000),
		cancel:    cancel,
		versions:  make(map[string]anvilmirror.Version),
		contents:  make(map[string]string),
		departing: make(map[anvilmodel.LeafName]bool),
		requests:  anvilquarantine.New(),
	}
	roles := anvilfollower.NewRoles(anvilfollower.RolesConfig{
		Members: func() []anvilmodel.Member { return f.membersSeenBy(index) },
		Random:  rand.New(rand.NewPCG(f.random.Uint64(), 0)),
		Log:     zerolog.Nop(),
	})
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
			FetchChanges: func(ctx context.Context, address netip.AddrPort, request anvilpeer.PublishedRequest) (anvilpeer.PublishedReply, error) {
				return f.fetchChanges(ctx, name, address, request)
			},
			Members:   func() []anvilmodel.Member { return f.membersSeenBy(index) },
			Roles:     roles,
			Apply:     n.apply,
			CountRead: func(string, bool) {},
			Random:    rand.New(rand.NewPCG(f.random.Uint64(), 0)),
			Log:       zerolog.Nop(),
		}
		if prefix == leafPrefix {
			config.Announcements = n.announcements
			config.MergeAnnouncements = n.mergeAnnouncements
		}
		return anvilfollower.New(config)
	}
	n.set = &anvilfollower.Set{
		Configuration: follower(configurationPrefix),
		Leaves:        follower(leafPrefix),
		Roles:         roles,
	}
	f.mu.Lock()
	f.nodes[index] = n
	f.mu.Unlock()
	f.tasks.Go(func() { n.set.Run(ctx) })
}

// restart kills a node and starts it again without a copy.
func (f *fleet) restart(index int) {
	f.nodes[index].cancel()
	f.start(index)
	f.mu.Lock()
	f.members[index].ConfigRevision = 0
	clear(f.views)
	// The node has discovered no other until the next exchange.
	f.views[index] = slices.Clone(f.members[index : index+1])
	f.mu.Unlock()
}

// apply records a batch and checks that no item is replaced by an older one. A follower
// applies one batch at a time, but the two followers of a node share the maps.
func (n *node) apply(b anvilfollower.Batch) {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	for _, item := range b.Items {
		version := anvilmirror.Version{
			Era:      b.Mirror.Era(),
			Revision: item.Revision,
		}
		if version.Compare(n.versions[item.Key]) < 0 && n.regression == "" {
			n.regression = fmt.Sprintf("%s from %+v to %+v", item.Key, n.versions[item.Key], version)
		}
		n.versions[item.Key] = version
		delete(n.contents, item.Key)
		if item.Deleted && !b.AfterOutage {
			n.removalsWithoutGrace++
		}
		if !item.Deleted {
			n.contents[item.Key] = string(item.Value)
		}
	}
}

// nodesMu guards what the nodes record.
var nodesMu sync.Mutex

func (n *node) announcements(crashDigest uint64) anvilmodel.LeafAnnouncements {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	now := time.Now()
	announced := anvilmodel.LeafAnnouncements{
		CrashReports: n.requests.Reports(crashDigest, now),
		CrashDigest:  n.requests.Digest(now),
	}
	for leaf := range n.departing {
		announced.Departures = append(announced.Departures, anvilmodel.Departure{
			Leaf: leaf,
		})
	}
	return announced
}

func (n *node) mergeAnnouncements(announced anvilmodel.LeafAnnouncements) bool {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	before := len(n.departing)
	for _, d := range announced.Departures {
		n.departing[d.Leaf] = true
	}
	restricted := n.requests.Merge(announced.CrashReports, time.Now())
	return len(n.departing) > before || len(restricted) > 0
}

// fetchChanges polls a node over the simulated network.
func (f *fleet) fetchChanges(ctx context.Context, from string, address netip.AddrPort, request anvilpeer.PublishedRequest) (anvilpeer.PublishedReply, error) {
	if err := sleep(ctx, networkDelay); err != nil {
		return anvilpeer.PublishedReply{}, err
	}
	f.mu.Lock()
	index := slices.IndexFunc(f.nodes, func(n *node) bool { return n.address == address })
	n := f.nodes[index]
	isolated := f.isolated
	f.mu.Unlock()
	if isolated == from || isolated == n.name {
		<-ctx.Done()
		return anvilpeer.PublishedReply{}, ctx.Err()
	}
	follower := n.set.Configuration
	if request.Prefix == leafPrefix {
		follower = n.set.Leaves
	}
	reply := follower.ChangesSince(ctx, request)
	if err := sleep(ctx, networkDelay); err != nil {
		return anvilpeer.PublishedReply{}, errNodeDown
	}
	reply.After = request.CompleteRevision
	return reply, nil
}

// exchangeGossip updates the views of all nodes to the current revisions of the others.
func (f *fleet) exchangeGossip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = nil
	f.views = make(map[int][]anvilmodel.Member)
	for _, n := range f.nodes {
		f.members = append(f.members, anvilmodel.Member{
			Name:           anvilmodel.VMName(n.name),
			PeerAddress:    n.address,
			Status:         anvilmodel.MemberAlive,
			ConfigRevision: n.set.Configuration.LatestVersion().Revision,
			ConfigEra:      n.set.Configuration.LatestVersion().Era,
		})
	}
}

// membersSeenBy returns a node's view of the fleet, itself first.
func (f *fleet) membersSeenBy(index int) []anvilmodel.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index >= len(f.members) {
		return nil
	}
	if f.views[index] == nil {
		view := append([]anvilmodel.Member{f.members[index]}, f.members[:index]...)
		view = append(view, f.members[index+1:]...)
		for i := 1; f.hideCopies && i < len(view); i++ {
			if (i+index)%hiddenCopies != 0 {
				view[i].ConfigRevision = 0
			}
		}
		f.views[index] = view
	}
	return f.views[index]
}

// versionOf returns the version of a key on the node.
func (n *node) versionOf(key string) anvilmirror.Version {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	return n.versions[key]
}

// firstRegression describes the first change that replaced a newer one; empty if none did.
func (n *node) firstRegression() string {
	nodesMu.Lock()
	defer nodesMu.Unlock()
	return n.regression
}

// contents returns the values of the store by key.
func (s *store) contents() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string]string, len(s.items))
	for key, item := range s.items {
		values[key] = string(item.Value)
	}
	return values
}
