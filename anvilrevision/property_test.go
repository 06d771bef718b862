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

// Guards against any order of changes, faults and replacements after which a
// node reverts or applies a refused revision (both checked by the fleet), nodes
// differ, or a change is not in force everywhere within 7 s of messages flowing.
func TestPropertyFleetConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := running(t, rapid.Uint64().Draw(t, "seed"), 3)
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
				if f.now.After(v.paused) {
					v.paused = f.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * time.Second)
				}
			case 4:
				// A node that serves the highest version stays reachable: what
				// only a lost node had is lost.
				if slices.ContainsFunc(f.vms, func(w *vm) bool {
					return w != v && w.Ready() && w.Active().Version == highest() && f.now.After(w.paused) && w.side == v.side
				}) {
					f.replace(v)
				}
			case 5:
				v.side = 1 - v.side
			case 6:
				f.serviceDown = !f.serviceDown
			}
			f.loss = rapid.SampledFrom([]float64{0, 0, 0.2}).Draw(t, "loss")
			f.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "run")) * time.Millisecond)
		}
		for _, v := range f.vms {
			f.run(max(0, v.paused.Sub(f.now)))
		}
		f.split(0, 0, 0, 0)
		f.loss = 0
		before := highest()
		f.within(bound, "the same version in force everywhere", func() bool { return f.serves(max(before, f.vms[0].Active().Version)) })
		f.serviceDown = false
		f.publish(last+1, "last")
		f.settles(last + 1)
	})
}

// Guards against nodes that have seen the same documents, in any order and some
// of them twice, and have different revisions in force.
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
		k := anvilrevision.New(anvilrevision.Config{Self: "x", Validate: judge, Random: rand.New(rand.NewPCG(1, 1))}, now)
		for _, i := range rapid.Permutation(order).Draw(t, "order") {
			content := map[bool]string{true: "good", false: "bad"}[good[i]]
			run(k, k.HandleDocuments(uint64(i+1), text(content), now, now), now)
		}
		if got := k.Active().Version; got != uint64(want) {
			t.Fatalf("version %d in force, want %d", got, want)
		}
	})
}
