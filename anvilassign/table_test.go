package anvilassign_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"anvilbridge/anvilassign"
	"anvilbridge/anvilmodel"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func domain(i int) anvilmodel.FailureDomain {
	return anvilmodel.FailureDomain(fmt.Sprintf("fd-%d", i))
}

func slots(n, domains int) []anvilassign.Slot {
	var out []anvilassign.Slot
	for i := range n {
		out = append(out, anvilassign.Slot{
			Name:          anvilmodel.SlotName(fmt.Sprintf("slot-%03d", i)),
			FailureDomain: domain(i % domains),
		})
	}
	return out
}

// leaves returns the leaves of a service: shards with their replicas in
// successive failure domains.
func leaves(service anvilmodel.ServiceName, shards, replicas, domains int) []anvilmodel.Leaf {
	var out []anvilmodel.Leaf
	for i := range shards {
		for k := range replicas {
			out = append(out, anvilmodel.Leaf{
				Name:          anvilmodel.LeafName(fmt.Sprintf("%s-%03d-%c", service, i, 'a'+k)),
				Service:       service,
				FailureDomain: domain((i + k) % domains),
			})
		}
	}
	return out
}

// TestTableProperties guards against nodes that compute different candidates
// from the same configuration, against candidates in fewer failure domains than
// possible, a primary outside the leaf's failure domain, and shares that exceed
// the limits of the leaf.
func TestTableProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		c := anvilassign.Config{
			Slots:     slots(rapid.IntRange(1, 30).Draw(t, "slots"), domains),
			Leaves:    leaves("a", rapid.IntRange(1, 60).Draw(t, "shards"), rapid.IntRange(1, 3).Draw(t, "replicas"), domains+1),
			GroupSize: rapid.IntRange(0, 12).Draw(t, "group size"),
			Limits: map[anvilmodel.ServiceName]anvilassign.Limits{"a": {
				Connections:     rapid.IntRange(0, 100).Draw(t, "connections"),
				ColdConcurrency: rapid.IntRange(1, 9).Draw(t, "cold concurrency"),
			}},
		}
		table := anvilassign.New(c)
		for _, l := range c.Leaves {
			checkCandidates(t, c, l, table.Candidates(l.Name))
		}
		reversed := c
		reversed.Slots, reversed.Leaves = slices.Clone(c.Slots), slices.Clone(c.Leaves)
		slices.Reverse(reversed.Slots)
		slices.Reverse(reversed.Leaves)
		for _, s := range c.Slots {
			if d := cmp.Diff(table.AssignmentsOf(s.Name), anvilassign.New(reversed).AssignmentsOf(s.Name)); d != "" {
				t.Fatalf("order of the configuration changes the assignment: %s", d)
			}
		}
	})
}

func checkCandidates(t *rapid.T, c anvilassign.Config, l anvilmodel.Leaf, k []anvilassign.Candidate) {
	domains := make(map[anvilmodel.SlotName]anvilmodel.FailureDomain)
	distinct := make(map[anvilmodel.FailureDomain]bool)
	for _, s := range c.Slots {
		domains[s.Name] = s.FailureDomain
		distinct[s.FailureDomain] = true
	}
	connections, cold := 0, 0
	seen := make(map[anvilmodel.SlotName]bool)
	used := make(map[anvilmodel.FailureDomain]bool)
	for rank, x := range k {
		seen[x.Slot] = x.Rank == rank
		used[domains[x.Slot]] = true
		connections += x.Connections
		cold += x.ColdConcurrency
	}
	if x := c.Limits[l.Service]; connections > x.Connections || cold > x.ColdConcurrency || k[0].ColdConcurrency < 1 {
		t.Fatalf("%s: shares %d and %d of %+v", l.Name, connections, cold, x)
	}
	if len(seen) != min(3, len(c.Slots)) || len(used) != min(len(k), len(distinct)) {
		t.Fatalf("%s: %+v in %d domains of %d", l.Name, k, len(used), len(distinct))
	}
	if distinct[l.FailureDomain] && domains[k[0].Slot] != l.FailureDomain {
		t.Fatalf("%s in %s has its primary in %s", l.Name, l.FailureDomain, domains[k[0].Slot])
	}
}

// sfax is a small deployment with 4 slots in 3 failure domains.
func sfax() anvilassign.Config {
	c := anvilassign.Config{Slots: slots(4, 3)}
	c.Leaves = append(c.Leaves, leaves("portal", 20, 2, 3)...)
	c.Leaves = append(c.Leaves, leaves("certification", 30, 2, 3)...)
	c.Leaves = append(c.Leaves, leaves("archive", 1, 13, 3)...)
	c.Leaves = append(c.Leaves, leaves("dues", 1, 6, 3)...)
	return c
}

// designSize is a deployment of the design size: 410 slots, 15 services of 99
// shards with 2 leaves each, and one service of 30 leaves.
func designSize() anvilassign.Config {
	c := anvilassign.Config{Slots: slots(410, 4)}
	for i := range 15 {
		c.Leaves = append(c.Leaves, leaves(anvilmodel.ServiceName(fmt.Sprintf("s%02d", i)), 99, 2, 4)...)
	}
	c.Leaves = append(c.Leaves, leaves("pool", 1, 30, 4)...)
	return c
}

// measurePlacement returns the largest number of leaves of a primary over the
// mean, and the share of the leaves whose primary changes with the slots.
func measurePlacement(c anvilassign.Config, changed []anvilassign.Slot) (imbalance, moved float64) {
	x := c
	x.Slots = changed
	before, after := anvilassign.New(c), anvilassign.New(x)
	counts := make(map[anvilmodel.SlotName]int)
	most := 0
	for _, l := range c.Leaves {
		primary := before.Candidates(l.Name)[0].Slot
		counts[primary]++
		most = max(most, counts[primary])
		if after.Candidates(l.Name)[0].Slot != primary {
			moved += 1 / float64(len(c.Leaves))
		}
	}
	return float64(most*len(c.Slots)) / float64(len(c.Leaves)), moved
}

// meanPrimaries returns the mean number of primaries that a query to all shards
// of a service needs: when each shard's leaf is drawn at random, and when it is
// the one in two of the four failure domains.
func meanPrimaries(c anvilassign.Config) (drawn, near float64) {
	t := anvilassign.New(c)
	r := rand.New(rand.NewPCG(1, 1))
	const queries = 100
	for range queries {
		random, fixed := make(map[anvilmodel.SlotName]bool), make(map[anvilmodel.SlotName]bool)
		for i := 0; i < 198; i += 2 {
			random[t.Candidates(c.Leaves[i+r.IntN(2)].Name)[0].Slot] = true
			fixed[t.Candidates(c.Leaves[i+i/2%2].Name)[0].Slot] = true
		}
		drawn += float64(len(random)) / queries
		near += float64(len(fixed)) / queries
	}
	return drawn, near
}

// BenchmarkTable guards against a primary with far more leaves than the others,
// and against the removal or addition of a slot reassigning many more leaves
// than necessary.
func BenchmarkTable(b *testing.B) {
	for _, c := range []anvilassign.Config{sfax(), designSize()} {
		n := len(c.Slots)
		b.Run(fmt.Sprintf("slots=%d", n), func(b *testing.B) {
			for b.Loop() {
				anvilassign.New(c)
			}
			imbalance, removed := measurePlacement(c, c.Slots[1:])
			_, added := measurePlacement(c, append(slices.Clone(c.Slots), slots(n+1, 1)[n]))
			if imbalance > 1.5 || removed > 0.02+1/float64(n) || added > 0.02+1/float64(n) {
				b.Errorf("imbalance %.2f, moved %.3f and %.3f", imbalance, removed, added)
			}
			b.ReportMetric(imbalance, "max/mean")
			b.ReportMetric(removed*100, "%moved-removed")
			b.ReportMetric(added*100, "%moved-added")
			if n > 4 {
				drawn, near := meanPrimaries(c)
				b.ReportMetric(drawn, "dispatchers-drawn")
				b.ReportMetric(near, "dispatchers-near")
			}
		})
	}
}

// ExampleNew shows the candidates of a leaf, on which all nodes with the same
// configuration agree.
func ExampleNew() {
	table := anvilassign.New(anvilassign.Config{
		Slots:  slots(4, 3),
		Leaves: leaves("registry", 20, 2, 3),
		Limits: map[anvilmodel.ServiceName]anvilassign.Limits{"registry": {
			Connections:     30,
			ColdConcurrency: 3,
		}},
	})
	for _, c := range table.Candidates("registry-007-a") {
		fmt.Println(c.Slot, c.Connections, c.ColdConcurrency)
	}
	// Output:
	// slot-001 10 2
	// slot-000 10 1
	// slot-002 10 0
}
