package anvilbench

import (
	"encoding/binary"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// Behaviour of the simulated leaves.
const (
	// actualColdTime is the time for which a leaf is slow after its caches were
	// emptied. The configured cold duration is longer, as an operator would set it.
	actualColdTime = 1500 * time.Millisecond
	// configuredColdDuration is the cold duration in the dispatchers' settings.
	configuredColdDuration = 2 * time.Second
	// coldSlowdown multiplies the service times of a cold leaf.
	coldSlowdown = 2
	// collapseSlowdown also multiplies the service times of a leaf that received
	// more calls than it can handle while cold, until collapseTime after the last
	// such call.
	collapseSlowdown = 20
	collapseTime     = time.Second
	// loadReportInterval is the shortest time between two computations of the load
	// that a leaf reports.
	loadReportInterval = 500 * time.Millisecond
	// shedRetryAfter is the retry delay that a leaf returns when it sheds a call.
	shedRetryAfter = 50 * time.Millisecond
)

// leaf is a simulated leaf. It outlives its processes, one of which is current.
type leaf struct {
	sim     *simulation
	index   int
	config  anvilmodel.Leaf
	service *Service
	// slowdown multiplies the service times.
	slowdown float64
	// unreachable is set while messages from and to the leaf are lost. Attempts to
	// connect are not refused; they get no response.
	unreachable bool
	process     *process
	holdings    []holding
	// dispatcherCount is the number of dispatchers. Each holds a control connection,
	// which stays open and counts towards the connection limit.
	dispatcherCount int
	// wrongSnapshotShare is the share of calls that the leaf answers from its
	// newest snapshot instead of the requested one.
	wrongSnapshotShare float64
}

// holding is a snapshot that a leaf holds, with the body of its replies.
type holding struct {
	anvilmodel.Holding
	body []byte
}

// newHolding returns a holding whose body encodes the snapshot, the shard and the
// shard count, so that the source of a part can be checked.
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

// startProcess starts a process; cold means that its caches are empty.
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

// killProcess ends the process. Its connections are closed, unless silently is
// set because the VM is lost too; then the other side gets no notice.
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

// addHolding adds a snapshot to those that the leaf holds.
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

// acceptConnection adds a connection to the current process, which it returns. It
// returns nil if the leaf refuses the connection.
func (l *leaf) acceptConnection(c *connection) *process {
	p := l.process
	if p.dead || len(p.connections)+l.dispatcherCount >= l.service.Connections {
		return nil
	}
	p.connections = append(p.connections, c)
	return p
}

// holdingForReply returns h, except in a share of the cases, wrongSnapshotShare,
// in which it returns the newest holding to simulate a leaf that answers from the
// wrong snapshot.
func (l *leaf) holdingForReply(h holding) holding {
	if l.wrongSnapshotShare == 0 || len(l.holdings) == 0 || l.sim.miscRandom.Float64() >= l.wrongSnapshotShare {
		return h
	}
	return l.holdings[len(l.holdings)-1]
}
