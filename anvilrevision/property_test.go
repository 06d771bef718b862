package anvilrevision_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilbridge/anvilrevision"
)

// Guards against sequences of changes, faults and process restarts after which a node
// reverts or applies a refused revision (both checked by the fleet), nodes differ, or
// a change is not active on all nodes within 7 s after connectivity is restored.
func TestPropertyFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newServingFleet(t, rapid.Uint64().Draw(t, "seed"), 3)
		last := uint64(1)
		highest := func() (version uint64) {
			for _, v := range f.vms {
				version = max(version, v.Active().Version)
			}
			return version
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			v := f.vms[rapid.IntRange(0, 3).Draw(t, "vm")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				last++
				f.publish(last, fmt.Sprint(rapid.SampledFrom([]string{"good", "good", "bad"}).Draw(t, "content"), last))
			case 2:
				old := rapid.Uint64Range(0, last).Draw(t, "old")
				f.publish(old, fmt.Sprint("good", old))
			case 3:
				if f.now.After(v.pausedUntil) {
					v.pausedUntil = f.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * time.Second)
				}
			case 4:
				// Restart a process only if another reachable node serves the
				// highest version; otherwise that version is lost with it.
				if slices.ContainsFunc(f.vms, func(w *vm) bool {
					return w != v && w.Ready() && w.Active().Version == highest() && f.now.After(w.pausedUntil) && w.partition == v.partition
				}) {
					f.startProcess(v)
				}
			case 5:
				v.partition = 1 - v.partition
			case 6:
				f.serviceDown = !f.serviceDown
			}
			f.lossRate = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "loss")
			f.advance(time.Duration(rapid.IntRange(0, 6000).Draw(t, "run")) * time.Millisecond)
		}
		for _, v := range f.vms {
			f.advance(max(0, v.pausedUntil.Sub(f.now)))
		}
		f.setPartitions(0, 0, 0, 0)
		f.lossRate = 0
		before := highest()
		f.awaitCondition(convergenceLimit, "same version active on all nodes", func() bool { return f.allServe(max(before, f.vms[0].Active().Version)) })
		f.serviceDown = false
		f.publish(last+1, "last")
		f.awaitVersion(last + 1)
	})
}

// Guards against different active revisions on nodes that received the same documents,
// in any order and some of them twice.
func TestPropertySameDocumentsSameRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		good := rapid.SliceOfN(rapid.Bool(), 1, 24).Draw(t, "good")
		order := []int{}
		want := 0
		for i := range good {
			order = append(order, i, i)
			if good[i] {
				want = i + 1
			}
		}
		now := time.Unix(1_000_000, 0)
		m := anvilrevision.New(anvilrevision.Config{Self: "x", Validate: validate, Random: rand.New(rand.NewPCG(1, 1))}, now)
		for _, i := range rapid.Permutation(order).Draw(t, "order") {
			content := map[bool]string{true: "good", false: "bad"}[good[i]]
			runTasks(m, m.HandleDocuments(uint64(i+1), documentWith(content), now, now), now)
		}
		if got := m.Active().Version; got != uint64(want) {
			t.Fatalf("version %d active, want %d", got, want)
		}
	})
}
