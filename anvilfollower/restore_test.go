package anvilfollower_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"anvilbridge/anvilfollower"
)

const (
	// maxCopyAge is the age of the oldest copy from which the store is restored, and
	// maxStoreOutage how long it is away before.
	maxCopyAge     = 12 * time.Second
	maxStoreOutage = 3 * time.Second
	// rewriteDelay is the longest time between the return of the store and the first write of
	// a lost value, and between two such writes.
	rewriteDelay = 400 * time.Millisecond
)

// restoreStore makes the store fail for all nodes and restores it from an older copy. Nodes
// restart meanwhile, and some are turned away after its return. What is lost is written again.
func (s *schedule) restoreStore() {
	for _, n := range s.nodes {
		s.store.setFault(n.name, s.outageFault())
	}
	outage := time.Duration(s.random.Int64N(int64(maxStoreOutage)))
	time.Sleep(outage / 2)
	s.restartSome()
	time.Sleep(outage - outage/2)
	age := time.Duration(s.random.Int64N(int64(maxCopyAge)))
	lost := s.store.restore(time.Now().Add(-age))
	s.clearFaults()
	s.stableSince = time.Now()
	if s.random.IntN(2) == 0 {
		s.store.setFault(s.nodes[s.random.IntN(len(s.nodes))].name, s.outageFault())
	}
	s.restartSome()
	for _, item := range lost {
		time.Sleep(time.Duration(s.random.Int64N(int64(rewriteDelay))))
		if item.Key == configurationKey {
			s.writeConfiguration()
		} else {
			s.store.write(item.Key, item.Deleted)
		}
	}
}

func (s *schedule) outageFault() fault {
	return []fault{faultRefused, faultHanging}[s.random.IntN(2)]
}

// restartSome restarts a node in half of the calls.
func (s *schedule) restartSome() {
	if s.random.IntN(2) == 0 {
		return
	}
	index := s.random.IntN(len(s.nodes))
	s.restart(index)
	s.startedAt[index] = time.Now()
}

// Guards against nodes that ignore changes, or keep what no longer exists, after the store was
// restored from an older copy and has given their revisions out again. Restores follow each
// other while nodes restart, watches skip changes and answers of the earlier era arrive late.
func TestChangesTakeEffectAfterRestore(t *testing.T) {
	for _, c := range []struct {
		nodes     int
		schedules uint64
		limit     time.Duration
	}{
		{4, 300, applyLimit},
		{30, 6, applyLimit},
		{117, 1, largeApplyLimit},
	} {
		for seed := range c.schedules {
			runRestoreSchedule(t, seed, c.nodes, c.limit)
		}
	}
}

// runRestoreSchedule runs a fleet with random changes, restarts and restores of the store.
func runRestoreSchedule(t *testing.T, seed uint64, size int, limit time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, uint64(size)))
		ctx, cancel := context.WithCancel(t.Context())
		s := &schedule{
			t:         t,
			faults:    []fault{faultNone, faultSilentWatch, faultSkippingWatch},
			limit:     limit,
			startedAt: make([]time.Time, size),
		}
		store := newStore(seed)
		store.write(configurationKey, false)
		for i := range 5 {
			store.write(fmt.Sprint(leafPrefix, i), false)
		}
		s.fleet = newFleet(ctx, store, size, random)
		time.Sleep(applyLimit)
		for step := range scheduleSteps {
			if step%5 == 4 || random.IntN(8) == 0 {
				s.restoreStore()
			} else {
				s.step()
			}
			time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
			s.check(seed)
		}
		s.clearFaults()
		time.Sleep(max(limit, convergeLimit))
		s.check(seed)
		s.compareWithStore(seed)
		cancel()
		s.tasks.Wait()
	})
}

// Guards against a node that keeps the copy of the earlier era because the store and most
// nodes were cut off from it while the store was restored, and against one that infects others
// with that copy. One node reaches no other and not the store during the restore.
func TestNodeCutOffDuringRestoreCatchesUp(t *testing.T) {
	for cut := range 4 {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := newStore(seed)
			store.write(configurationKey, false)
			f := newFleet(ctx, store, 4, rand.New(rand.NewPCG(seed, 4)))
			time.Sleep(2 * applyLimit)
			copied := time.Now()
			time.Sleep(time.Second)
			for range 3 {
				store.write(configurationKey, false)
			}
			time.Sleep(applyLimit)
			f.cutOff(cut, true)
			store.setFault(f.nodes[cut].name, faultHanging)
			store.restore(copied)
			version := store.write(configurationKey, false)
			time.Sleep(2 * applyLimit)
			for i, n := range f.nodes {
				if got := n.versionOf(configurationKey); i != cut && got != version {
					t.Errorf("seed %d, %s cut off: %s has version %+v of the configuration, want %+v", seed, f.nodes[cut].name, n.name, got, version)
				}
			}
			f.cutOff(cut, false)
			time.Sleep(applyLimit)
			if got := f.nodes[cut].versionOf(configurationKey); got != version {
				t.Errorf("seed %d, %s cut off: it has version %+v of the configuration once it reaches the others, want %+v", seed, f.nodes[cut].name, got, version)
			}
			cancel()
			f.tasks.Wait()
		})
	}
}

// Guards against nodes that drop leaves at once which the restored store does not list until
// they report again.
func TestRestoreBeginsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newStore(seed)
		store.write(configurationKey, false)
		f := newFleet(ctx, store, 30, rand.New(rand.NewPCG(seed, 30)))
		time.Sleep(2 * applyLimit)
		copied := time.Now()
		time.Sleep(time.Second)
		for i := range 5 {
			store.write(fmt.Sprint(leafPrefix, i), false)
		}
		time.Sleep(applyLimit)
		store.restore(copied)
		time.Sleep(anvilfollower.OutageGrace + applyLimit)
		nodesMu.Lock()
		for _, n := range f.nodes {
			if n.removalsWithoutGrace > 0 {
				t.Errorf("seed %d: %s dropped %d leaves without a grace period", seed, n.name, n.removalsWithoutGrace)
			}
		}
		nodesMu.Unlock()
		cancel()
		f.tasks.Wait()
	})
}

// cutOff cuts a node off from the others, or ends that.
func (f *fleet) cutOff(index int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated = ""
	if cut {
		f.isolated = f.nodes[index].name
	}
}
