package anvilrevision_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilrevision"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// newServingFleet returns a fleet of 4 nodes that serve version 1. The first watchers
// nodes watch the configuration service.
func newServingFleet(t rapid.TB, seed uint64, watchers int) *fleet {
	t.Helper()
	f := newFleet(t, 4, seed)
	f.publishAndAwait(1, "one")
	f.advance(time.Second)
	for i, v := range f.vms {
		v.watchesService = i < watchers
	}
	return f
}

// Guards against a fleet that loses its revision or cannot admit a restarted node while
// the configuration service is down, or that misses a change when the service is back
// and slow.
func TestServiceDownForAnHour(t *testing.T) {
	f := newServingFleet(t, 1, 3)
	f.serviceDown = true
	f.advance(30 * time.Minute)
	f.startProcess(f.vms[0])
	f.awaitVersion(1)
	f.advance(30 * time.Minute)
	f.serviceDown = false
	f.serviceDelay = 5 * time.Second
	f.publish(2, "two")
	f.advance(f.serviceDelay)
	f.awaitVersion(2)
}

// Guards against a serving or joining node that reverts its configuration because the
// service returns an old version, nothing, or other content for the active version.
// Watching nodes must report a stale service once per period, and the conflict once.
func TestStaleService(t *testing.T) {
	f := newServingFleet(t, 2, 3)
	f.publishAndAwait(5, "five")
	first := f.vms[0].Active()
	for period := 1; period <= 2; period++ {
		for version, content := range []string{"", "one", "two", "three"} {
			f.publish(uint64(version), content)
			f.advance(2 * time.Minute)
		}
		f.startProcess(f.vms[3])
		f.awaitVersion(5)
		f.publish(5, "other")
		f.advance(2 * time.Minute)
		f.startProcess(f.vms[3])
		f.awaitVersion(5)
		for _, v := range f.vms {
			stale, conflicts := v.actionCounts[anvilrevision.ActionReportStaleService], v.actionCounts[anvilrevision.ActionReportConflict]
			if v.Active() != first || (v.watchesService && (stale != period || conflicts != 1)) {
				t.Errorf("%s: active %v, stale reported %d times in %d periods, %d conflicts", v.name, v.Active(), stale, period, conflicts)
			}
		}
	}
	f.publishAndAwait(6, "six")
}

// Guards against network partitions that serve different content of the same version
// without a conflict report, and against a partition that reverts or stays behind when
// two changes were published during the split.
func TestChangesDuringASplit(t *testing.T) {
	f := newServingFleet(t, 4, 0)
	f.setPartitions(1, 1, 2, 2)
	f.publish(2, "two")
	f.deliverDocuments(f.vms[0])
	f.advance(5 * time.Second)
	f.publish(2, "other two")
	f.deliverDocuments(f.vms[2])
	f.advance(5 * time.Second)
	f.setPartitions(0, 0, 0, 0)
	f.awaitCondition(5*time.Minute, "conflict reported", func() bool { return f.vms[0].actionCounts[anvilrevision.ActionReportConflict] > 0 })
	f.setPartitions(1, 1, 2, 2)
	for version := uint64(3); version <= 4; version++ {
		f.publish(version, fmt.Sprint(version))
		f.deliverDocuments(f.vms[0])
		f.advance(5 * time.Second)
	}
	if f.vms[1].Active().Version != 4 || f.vms[2].Active().Version != 2 {
		t.Errorf("during the split: active %v and %v", f.vms[1].Active(), f.vms[2].Active())
	}
	f.setPartitions(0, 0, 0, 0)
	f.awaitVersion(4)
}

// Guards against a revision that is lost when all processes restart one after another
// while the service is stale, and against a node that becomes ready without contact to
// its peers.
func TestFreshNodesAndAStaleService(t *testing.T) {
	f := newServingFleet(t, 6, 3)
	f.publishAndAwait(3, "three")
	f.publish(1, "one")
	for _, v := range f.vms {
		f.startProcess(v)
		f.awaitVersion(3)
	}
	f.setPartitions(1, 1, 1, 2)
	f.startProcess(f.vms[3])
	f.advance(10 * time.Minute)
	if f.vms[3].Ready() || !strings.Contains(f.vms[3].NotReadyReason(), "only 0 of 3 other listed VMs answer") {
		t.Fatalf("joining node is ready or waits for another reason: %q", f.vms[3].NotReadyReason())
	}
	f.setPartitions(0, 0, 0, 0)
	f.awaitVersion(3)
}

// Guards against a node that reverts or misses a change because its process is paused
// for 30 s after any kind of action.
func TestPauseInTheMiddleOfEachExchange(t *testing.T) {
	for kind := anvilrevision.ActionRunTask; kind <= anvilrevision.ActionReady; kind++ {
		f := newServingFleet(t, 8, 3)
		target, paused := f.vms[3], false
		f.onAction = func(v *vm, a anvilrevision.Action) {
			if v == target && a.Kind == kind && !paused {
				paused = true
				v.pausedUntil = f.now.Add(30 * time.Second)
			}
		}
		f.publish(2, "two")
		f.startProcess(target)
		f.advance(20 * time.Second)
		f.publish(3, "three")
		f.advance(max(0, target.pausedUntil.Sub(f.now)))
		f.awaitVersion(3)
	}
}

// Guards against a lost change when operators publish while another change is being
// validated, and against a delayed reply that is reported as a stale service.
func TestOperatorsPublishAtOnce(t *testing.T) {
	f := newServingFleet(t, 10, 1)
	before := f.now
	for version := uint64(2); version <= 4; version++ {
		f.publish(version, fmt.Sprint(version))
		f.deliverDocuments(f.vms[0])
		f.advance(validationTime / 4)
	}
	f.awaitVersion(4)
	f.runActions(f.vms[0], f.vms[0].HandleDocuments(3, documentWith("3"), before, f.now))
	if got := f.vms[0].actionCounts[anvilrevision.ActionReportStaleService]; got > 0 {
		t.Errorf("delayed reply reported as stale service")
	}
}

// Guards against a refused revision that is applied, that blocks later revisions, or
// that is not reported by nodes which do not watch the service.
func TestRefusedRevisionBetweenAccepted(t *testing.T) {
	f := newServingFleet(t, 11, 1)
	f.publish(2, "bad")
	refused := func() bool {
		return !slices.ContainsFunc(f.vms, func(v *vm) bool { return v.findingCounts[2] == 0 })
	}
	f.awaitCondition(convergenceLimit, "every node reports the refused revision", refused)
	f.advance(10 * time.Minute)
	f.startProcess(f.vms[3])
	f.awaitVersion(1)
	f.awaitCondition(convergenceLimit, "the restarted node reports the refused revision", refused)
	f.publishAndAwait(3, "three")
	for _, v := range f.vms {
		if v.findingCounts[2] != 2 || v.State().Refused.Version != 0 {
			t.Errorf("%s reported %d findings for version 2, want 2", v.name, v.findingCounts[2])
		}
	}
}

// Guards against a fleet that does not become ready after all processes start at once
// while one listed VM is down, that serves an older version than one of its nodes has,
// or that serves different content of the same version.
func TestAllNodesStartAtOnce(t *testing.T) {
	f := newFleet(t, 4, 12)
	f.vms[3].pausedUntil = f.now.Add(time.Hour)
	f.vms[2].watchesService = false
	f.publish(2, "two")
	f.deliverDocuments(f.vms[2])
	f.publish(1, "one")
	f.awaitVersion(2)
	for seed := range uint64(20) {
		f = newFleet(t, 4, seed)
		f.publish(1, "one")
		f.deliverDocuments(f.vms[3])
		f.publishAndAwait(1, "other")
		for _, v := range f.vms {
			if v.Active() != f.vms[0].Active() {
				t.Fatalf("seed %d: content of %s differs", seed, v.name)
			}
		}
	}
}

// Guards against a node that becomes ready too early (section 6.11 of the design), or that
// waits although it may serve.
func TestReadiness(t *testing.T) {
	state := func(version uint64, serving bool) *anvilrevision.State {
		return &anvilrevision.State{Active: anvilrevision.Revision{Version: version, Digest: [32]byte{1}}, Serving: serving}
	}
	type names = []anvilmodel.VMName
	type peers = map[anvilmodel.VMName]*anvilrevision.State // nil for a peer that does not answer
	for name, test := range map[string]struct {
		listed, leaving        names
		listUnread, serveAlone bool
		probeVersion           uint64 // version reported by probes of the peers; 0 if they do not serve
		peers                  peers
		reason                 string // part of the expected NotReadyReason; "" if ready
	}{
		"a: serving, equal or lower": {listUnread: true, peers: peers{"a": state(4, true)}},
		"a: serving, higher":         {listUnread: true, peers: peers{"a": state(6, true)}, reason: "version 6 is in force at a"},
		"a: serving, other content":  {listUnread: true, peers: peers{"a": state(5, true), "b": state(4, true)}, reason: "with other content"},
		"a: probed, no answer":       {probeVersion: 6, peers: peers{"a": nil}, reason: "version 6 is in force at a"},
		"list not read":              {listUnread: true, peers: peers{"a": state(5, false)}, reason: "the VM list has not been read"},
		"b: majority, one dead":      {listed: names{"a", "b", "c"}, peers: peers{"a": state(4, false), "b": state(0, false), "c": nil}},
		"b: half, two dead":          {listed: names{"a", "b", "c"}, peers: peers{"a": state(4, false), "b": nil, "c": nil}, reason: "only 1 of 3"},
		"b: majority, one not asked": {listed: names{"a", "b", "c"}, peers: peers{"a": state(4, false), "b": state(4, false)}, reason: "1 other VMs have not been asked"},
		"b: joining peer has higher": {listed: names{"a"}, peers: peers{"a": state(6, false)}, reason: "being fetched from a"},
		"c: alone":                   {},
		"c: leaving VM not asked":    {leaving: names{"a"}, reason: "1 other VMs have not been asked"},
		"c: leaving VM has higher":   {leaving: names{"a"}, peers: peers{"a": state(6, true)}, reason: "version 6 is in force at a"},
		"serve alone":                {listUnread: true, serveAlone: true},
	} {
		f := newFleet(t, 0, 13)
		m := anvilrevision.New(anvilrevision.Config{Self: "x", Validate: validate, ServeAlone: test.serveAlone, Random: f.random}, f.now)
		if !strings.Contains(m.NotReadyReason(), "no valid configuration") {
			t.Errorf("without a configuration: not ready because %q", m.NotReadyReason())
		}
		runTasks(m, m.HandleDocuments(5, documentWith("x"), f.now, f.now), f.now)
		for _, name := range slices.Sorted(maps.Keys(test.peers)) {
			m.HandleProbe(name, test.probeVersion, test.probeVersion > 0, f.now)
			if s := test.peers[name]; s != nil {
				m.HandlePeerState(name, *s, f.now)
			} else {
				m.HandleExchangeFailure(name, f.now)
			}
		}
		if !test.listUnread {
			m.SetVMList(test.listed, test.leaving, f.now)
		}
		if got := m.NotReadyReason(); m.Ready() != (test.reason == "") || !strings.Contains(got, test.reason) {
			t.Errorf("%s: ready %v, reason %q, want %q", name, m.Ready(), got, test.reason)
		}
		m.Tick(f.now.Add(30 * time.Second))
		if got := m.NotReadyReason(); strings.Contains(got, "answer;") {
			t.Errorf("%s: exchanges before a pause are counted: %q", name, got)
		}
	}
	// Exchanges that took place before the first revision was active do not count.
	m := anvilrevision.New(anvilrevision.Config{Validate: validate, Random: rand.New(rand.NewPCG(1, 1))}, time.Time{})
	m.SetVMList(names{"a", "b"}, nil, time.Time{})
	m.HandlePeerState("a", anvilrevision.State{}, time.Time{})
	m.HandlePeerState("b", anvilrevision.State{}, time.Time{})
	runTasks(m, m.HandleDocuments(5, documentWith("x"), time.Time{}, time.Time{}), time.Time{})
	if m.Ready() {
		t.Errorf("ready without an exchange since the revision became active")
	}
}

// Guards against more reads than the service handles, 2,000 per second, when 410 nodes
// start or lose contact at the same time, and against more than 3 watchers per failure
// domain.
func TestReadBudget(t *testing.T) {
	f := newFleet(t, 410, 14)
	f.serviceDown = true
	domains := make([][]anvilmodel.VMName, 4)
	for i, v := range f.vms {
		v.partition = i
		domains[i%4] = append(domains[i%4], v.name)
	}
	f.advance(15 * time.Second)
	watchers := 0
	for i, v := range f.vms {
		if anvilrevision.ShouldWatch(v.name, domains[i%4]) {
			watchers++
		}
	}
	// Each joining node also starts one watch, because it has discovered no other member.
	most := slices.Max(slices.Collect(maps.Values(f.readsPerSecond))) + len(f.vms)
	if most > 2000 || watchers != 12 {
		t.Errorf("%d reads in one second, %d watchers in 4 domains", most, watchers)
	}
}
