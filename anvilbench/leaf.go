package anvilbench

import (
	"encoding/binary"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Behaviour of the fake leafs.
const (
	// coldFor is how long a process or a cache is really cold. The configured
	// cold duration is longer, as an operator would set it.
	actualColdTime = 1500 * time.Millisecond
	// coldDuration is the configured cold duration.
	configuredColdDuration = 2 * time.Second
	// coldFactor multiplies service times of a cold leaf that is not overrun.
	coldSlowdown = 2
	// collapseFactor multiplies service times of a cold leaf that got more calls
	// than it can handle, for collapseFor after the last one too many.
	collapseSlowdown = 20
	collapseTime     = time.Second
	// loadInterval is how often a leaf computes the load that it reports.
	loadReportInterval = 500 * time.Millisecond
	// shedRetryAfter is what a leaf states when it sheds.
	shedRetryAfter = 50 * time.Millisecond
)

// leaf is a fake upstream under one name, process by process.
type leaf struct {
	sim     *simulation
	index   int
	config  anvilmodel.Leaf
	service *Service
	// slow multiplies service times.
	slowdown float64
	// unreachable is set while nothing reaches the leaf, not even a refusal.
	unreachable bool
	process     *process
	holdings    []holding
	// dispatchers counts the control connections, which stay open.
	dispatcherCount int
	// strays is the share of calls for an older snapshot that the leaf wrongly
	// answers from its newest one.
	wrongSnapshotShare float64
}

// holding is a snapshot that a leaf holds, with the body that it answers.
type holding struct {
	anvilmodel.Holding
	body []byte
}

// newHolding returns a holding and its body, which repeats what it is from.
func newHolding(snapshot anvilmodel.Snapshot, shard, shards int) holding {
	h := holding{
		Holding: anvilmodel.Holding{
			Snapshot:   snapshot,
			Shard:      anvilmodel.Shard(shard),
			ShardCount: shards,
		},
	}
	h.body = encodePart(h.Holding)
	return h
}

func encodePart(h anvilmodel.Holding) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(h.Snapshot))
	body = binary.BigEndian.AppendUint32(body, uint32(h.Shard))
	return binary.BigEndian.AppendUint32(body, uint32(h.ShardCount))
}

func decodePart(body []byte) anvilmodel.Holding {
	return anvilmodel.Holding{
		Snapshot:   anvilmodel.Snapshot(binary.BigEndian.Uint64(body)),
		Shard:      anvilmodel.Shard(binary.BigEndian.Uint32(body[8:])),
		ShardCount: int(binary.BigEndian.Uint32(body[12:])),
	}
}

// start begins a process; cold says whether its caches are empty.
func (l *leaf) startProcess(cold bool) {
	p := &process{
		leaf:        l,
		incarnation: 1,
	}
	if l.process != nil {
		p.incarnation = l.process.incarnation + 1
	}
	l.process = p
	if cold {
		p.clearCaches()
	}
}

// kill ends the process. Its connections break at once unless the VM is gone
// with it; then they go silent.
func (l *leaf) killProcess(silently bool) {
	p := l.process
	p.dead = true
	p.calls = nil
	for _, c := range p.connections {
		if !silently {
			c.closeFromLeaf()
		}
	}
	p.connections = nil
}

// hold makes the leaf hold one more snapshot, drop makes it forget one.
func (l *leaf) addHolding(snapshot anvilmodel.Snapshot, shard, shards int) {
	l.holdings = append(l.holdings, newHolding(snapshot, shard, shards))
}

func (l *leaf) removeHolding(snapshot anvilmodel.Snapshot) {
	l.holdings = slices.DeleteFunc(l.holdings, func(h holding) bool {
		return h.Snapshot == snapshot
	})
}

func (l *leaf) findHolding(snapshot anvilmodel.Snapshot) int {
	return slices.IndexFunc(l.holdings, func(h holding) bool {
		return h.Snapshot == snapshot
	})
}

// accept takes a new connection, nil when the leaf refuses it.
func (l *leaf) acceptConnection(c *connection) *process {
	p := l.process
	if p.dead || len(p.connections)+l.dispatcherCount >= l.service.Connections {
		return nil
	}
	p.connections = append(p.connections, c)
	return p
}

// stray returns the newest holding instead of an older one in a share of the
// cases, as a leaf does that mixes up its snapshots.
func (l *leaf) holdingForReply(h holding) holding {
	if l.wrongSnapshotShare == 0 || len(l.holdings) == 0 || l.sim.miscRandom.Float64() >= l.wrongSnapshotShare {
		return h
	}
	return l.holdings[len(l.holdings)-1]
}
