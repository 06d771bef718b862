package anvilquery

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

// shardMap maps each shard of a snapshot to the leaves that hold it. Only
// coveredShards changes after construction; running queries keep the map that they
// pinned.
type shardMap struct {
	snapshot   anvilmodel.Snapshot
	shardCount int
	// leaves are sorted by shard; those of shard i are
	// leaves[offsets[i]:offsets[i+1]].
	leaves  []*leaf
	offsets []int32
	// coveredShards counts the shards with an available leaf.
	coveredShards int
}

func (m *shardMap) leavesOf(shard anvilmodel.Shard) []*leaf {
	return m.leaves[m.offsets[shard]:m.offsets[shard+1]]
}

func (m *shardMap) complete() bool {
	return m.coveredShards == m.shardCount
}

func (m *shardMap) covers(shard anvilmodel.Shard, now time.Duration) bool {
	for _, l := range m.leavesOf(shard) {
		if l.available(now) {
			return true
		}
	}
	return false
}

func (m *shardMap) updateCoverage(now time.Duration) {
	m.coveredShards = 0
	for s := range m.shardCount {
		if m.covers(anvilmodel.Shard(s), now) {
			m.coveredShards++
		}
	}
}

// shardOf returns the shard that a routing key is assigned to.
func (m *shardMap) shardOf(key string) anvilmodel.Shard {
	return anvilmodel.Shard(xxhash.Sum64String(key) % uint64(m.shardCount))
}

// leafHolding is a holding and the leaf that reported it.
type leafHolding struct {
	anvilmodel.Holding
	leaf *leaf
}

// buildShardMaps returns one map per reported snapshot, newest first.
func buildShardMaps(leaves []*leaf) []*shardMap {
	var holdings []leafHolding
	for _, l := range leaves {
		for _, h := range l.holdings {
			holdings = append(holdings, leafHolding{
				Holding: h,
				leaf:    l,
			})
		}
	}
	slices.SortStableFunc(holdings, func(a, b leafHolding) int {
		return cmp.Or(cmp.Compare(b.Snapshot, a.Snapshot), cmp.Compare(a.ShardCount, b.ShardCount), cmp.Compare(a.Shard, b.Shard))
	})
	var maps []*shardMap
	for len(holdings) > 0 {
		n := prefixLength(holdings, func(h leafHolding) bool { return h.Snapshot == holdings[0].Snapshot })
		maps = append(maps, newShardMap(selectShardCount(holdings[:n])))
		holdings = holdings[n:]
	}
	return maps
}

// selectShardCount returns the holdings from which the map of a snapshot is built.
// The input holds the reports for one snapshot, sorted by shard count. If leaves
// report different shard counts, the count reported by more than half of them is
// used, or else the largest. A smaller count reported by a minority is never used,
// because it could look like complete coverage with too few shards. Leaves that
// report another count are not used for this snapshot.
func selectShardCount(holdings []leafHolding) []leafHolding {
	var largest []leafHolding
	for rest := holdings; len(rest) > 0; rest = rest[len(largest):] {
		n := prefixLength(rest, func(h leafHolding) bool { return h.ShardCount == rest[0].ShardCount })
		largest = rest[:n]
		if 2*n > len(holdings) {
			return largest
		}
	}
	return largest
}

func prefixLength(holdings []leafHolding, same func(leafHolding) bool) int {
	for i, s := range holdings {
		if !same(s) {
			return i
		}
	}
	return len(holdings)
}

// newShardMap builds a map from holdings with the same snapshot and shard count.
func newShardMap(holdings []leafHolding) *shardMap {
	m := &shardMap{
		snapshot:   holdings[0].Snapshot,
		shardCount: holdings[0].ShardCount,
		leaves:     make([]*leaf, 0, len(holdings)),
		offsets:    make([]int32, holdings[0].ShardCount+1),
	}
	for _, s := range holdings {
		m.leaves = append(m.leaves, s.leaf)
		m.offsets[s.Shard+1]++
	}
	for i := range m.shardCount {
		m.offsets[i+1] += m.offsets[i]
	}
	return m
}
