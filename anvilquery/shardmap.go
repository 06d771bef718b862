package anvilquery

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"anvilbridge/anvilmodel"
)

// shardMap says which leafs hold which shard of a snapshot. Only covered changes
// after it was built; running queries keep the map that they pinned.
type shardMap struct {
	snapshot anvilmodel.Snapshot
	shards   int
	// holders are the leafs in the order of their shards; those of shard i are
	// holders[offsets[i]:offsets[i+1]].
	holders []*leaf
	offsets []int32
	// covered counts the shards with an available leaf.
	covered int
}

func (m *shardMap) holding(shard anvilmodel.Shard) []*leaf {
	return m.holders[m.offsets[shard]:m.offsets[shard+1]]
}

func (m *shardMap) complete() bool {
	return m.covered == m.shards
}

func (m *shardMap) covers(shard anvilmodel.Shard, now time.Duration) bool {
	for _, l := range m.holding(shard) {
		if l.available(now) {
			return true
		}
	}
	return false
}

func (m *shardMap) recount(now time.Duration) {
	m.covered = 0
	for s := range m.shards {
		if m.covers(anvilmodel.Shard(s), now) {
			m.covered++
		}
	}
}

// shardOf returns the shard that a routing key belongs to.
func (m *shardMap) shardOf(key string) anvilmodel.Shard {
	return anvilmodel.Shard(xxhash.Sum64String(key) % uint64(m.shards))
}

// statement is one holding and the leaf that states it.
type statement struct {
	anvilmodel.Holding
	leaf *leaf
}

// buildMaps returns the map of every stated snapshot, newest first.
func buildMaps(leafs []*leaf) []*shardMap {
	var statements []statement
	for _, l := range leafs {
		for _, h := range l.holdings {
			statements = append(statements, statement{
				Holding: h,
				leaf:    l,
			})
		}
	}
	slices.SortStableFunc(statements, func(a, b statement) int {
		return cmp.Or(cmp.Compare(b.Snapshot, a.Snapshot), cmp.Compare(a.ShardCount, b.ShardCount), cmp.Compare(a.Shard, b.Shard))
	})
	var maps []*shardMap
	for len(statements) > 0 {
		n := prefix(statements, func(s statement) bool { return s.Snapshot == statements[0].Snapshot })
		maps = append(maps, newShardMap(agreed(statements[:n])))
		statements = statements[n:]
	}
	return maps
}

// agreed returns the statements on one snapshot, sorted by shard count, that the
// map is built from. When leafs disagree on the shard count, the count that more
// than half of them state is taken; without such a majority, the largest. A
// smaller count that only a minority states could pass for complete coverage
// with too few shards, so it is never taken. Leafs that state another count are
// not used for this snapshot.
func agreed(statements []statement) []statement {
	var largest []statement
	for rest := statements; len(rest) > 0; rest = rest[len(largest):] {
		n := prefix(rest, func(s statement) bool { return s.ShardCount == rest[0].ShardCount })
		largest = rest[:n]
		if 2*n > len(statements) {
			return largest
		}
	}
	return largest
}

func prefix(statements []statement, same func(statement) bool) int {
	for i, s := range statements {
		if !same(s) {
			return i
		}
	}
	return len(statements)
}

// newShardMap builds a map from statements of one snapshot and shard count.
func newShardMap(statements []statement) *shardMap {
	m := &shardMap{
		snapshot: statements[0].Snapshot,
		shards:   statements[0].ShardCount,
		holders:  make([]*leaf, 0, len(statements)),
		offsets:  make([]int32, statements[0].ShardCount+1),
	}
	for _, s := range statements {
		m.holders = append(m.holders, s.leaf)
		m.offsets[s.Shard+1]++
	}
	for i := range m.shards {
		m.offsets[i+1] += m.offsets[i]
	}
	return m
}
