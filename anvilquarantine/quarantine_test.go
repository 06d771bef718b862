package anvilquarantine_test

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquarantine"
)

var start = time.Date(2026, time.December, 7, 8, 0, 0, 0, time.UTC)

func fingerprint(i int) anvilmodel.Fingerprint {
	var f anvilmodel.Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(i)+1)
	return f
}

// crash records crashes of the leaves with the numbers.
func crash(r *anvilquarantine.Registry, f anvilmodel.Fingerprint, inTrial bool, now time.Time, leaves ...int) {
	for _, i := range leaves {
		r.RecordCrash(f, anvilmodel.LeafName(fmt.Sprint("leaf-", i)), start, inTrial, now)
	}
}

func checkStatus(t *testing.T, r *anvilquarantine.Registry, f anvilmodel.Fingerprint, now time.Time, want anvilquarantine.Status, what string) {
	t.Helper()
	if got, _ := r.Status(f, now); got != want {
		t.Errorf("%s: status %s, want %s", what, got, want)
	}
}

// Guards against a request that crashes leaf after leaf, and against the refusal of one that
// lost its calls because leaves crashed for another reason.
func TestRequestIsQuarantinedAfterTrial(t *testing.T) {
	r := anvilquarantine.New()
	f := fingerprint(0)
	crash(r, f, false, start, 1, 2, 2, 2)
	checkStatus(t, r, f, start, anvilquarantine.StatusAllowed, "two leaves have crashed")
	crash(r, f, false, start, 3)
	checkStatus(t, r, f, start, anvilquarantine.StatusSuspected, "three leaves have crashed")
	crash(r, f, true, start, 4, 4)
	checkStatus(t, r, f, start, anvilquarantine.StatusSuspected, "the leaf of a trial has crashed")
	crash(r, f, true, start, 5)
	checkStatus(t, r, f, start, anvilquarantine.StatusQuarantined, "the leaves of two trials have crashed")
	checkStatus(t, r, fingerprint(1), start, anvilquarantine.StatusAllowed, "another request")
	after := start.Add(anvilquarantine.Duration)
	checkStatus(t, r, f, after, anvilquarantine.StatusSuspected, "the quarantine is over")
	crash(r, f, true, after, 6)
	checkStatus(t, r, f, after, anvilquarantine.StatusQuarantined, "the leaf of the next trial has crashed")
}

// Guards against the refusal of a request that leaves can run: its calls were lost because
// another request had crashed their leaves.
func TestAnswerClearsRequest(t *testing.T) {
	r, other := anvilquarantine.New(), anvilquarantine.New()
	f := fingerprint(0)
	crash(r, f, false, start, 1, 2, 3)
	reports := r.Reports(0, start)
	if !r.RecordAnswer(f, start.Add(time.Second)) {
		t.Error("the answer did not clear the suspected request")
	}
	checkStatus(t, r, f, start.Add(time.Second), anvilquarantine.StatusAllowed, "a leaf has answered")
	other.Merge(reports, start)
	r.Merge(other.Reports(0, start.Add(2*time.Second)), start.Add(2*time.Second))
	checkStatus(t, r, f, start.Add(2*time.Second), anvilquarantine.StatusAllowed, "a node passes on crashes of before the answer")
	crash(other, f, true, start.Add(3*time.Second), 4, 5)
	r.Merge(other.Reports(0, start.Add(3*time.Second)), start.Add(3*time.Second))
	checkStatus(t, r, f, start.Add(3*time.Second), anvilquarantine.StatusQuarantined, "a node passes on a crash of after the answer")
}

// Guards against a request that is not suspected because the leaves crash under attempts at
// different nodes, and against one that a node refuses longer because it received the report late.
func TestNodesAddUpCrashes(t *testing.T) {
	nodes := []*anvilquarantine.Registry{anvilquarantine.New(), anvilquarantine.New(), anvilquarantine.New()}
	f := fingerprint(0)
	for i, r := range nodes {
		crash(r, f, false, start, i)
	}
	now := start.Add(time.Second)
	for _, r := range nodes[1:] {
		nodes[0].Merge(r.Reports(nodes[0].Digest(now), now), now)
	}
	checkStatus(t, nodes[0], f, now, anvilquarantine.StatusSuspected, "three nodes have seen a crash each")
	crash(nodes[0], f, true, now, 7)
	crash(nodes[1], f, true, now, 8)
	checkStatus(t, nodes[1], f, now, anvilquarantine.StatusAllowed, "the node has seen two crashes")
	nodes[0].Merge(nodes[1].Reports(0, now), now)
	checkStatus(t, nodes[0], f, now, anvilquarantine.StatusQuarantined, "two nodes have seen the crash of a trial each")
	late := now.Add(anvilquarantine.Duration - time.Second)
	changes := nodes[1].Merge(nodes[0].Reports(nodes[1].Digest(late), late), late)
	want := []anvilquarantine.Change{{
		Fingerprint: f,
		Status:      anvilquarantine.StatusQuarantined,
	}}
	if diff := cmp.Diff(want, changes); diff != "" {
		t.Errorf("changes at a node that receives the report late (-want +got):\n%s", diff)
	}
	checkStatus(t, nodes[1], f, late.Add(time.Second), anvilquarantine.StatusSuspected, "the quarantine is over")
}

// Guards against messages that carry the same reports over and over: a node spends 4 KB/s on
// control in all.
func TestKnownReportsAreNotSentAgain(t *testing.T) {
	a, b := anvilquarantine.New(), anvilquarantine.New()
	for i := range 2 * anvilquarantine.MaxReports {
		crash(a, fingerprint(i), false, start, 1, 2, 3)
	}
	later := start.Add(time.Minute)
	for range 2 {
		reports := a.Reports(b.Digest(later), later)
		if len(reports) != anvilquarantine.MaxReports {
			t.Errorf("%d reports in a message, want %d", len(reports), anvilquarantine.MaxReports)
		}
		b.Merge(reports, later)
	}
	b = anvilquarantine.New()
	crash(b, fingerprint(0), false, start, 1, 2, 3)
	a = anvilquarantine.New()
	a.Merge(b.Reports(0, later), later)
	if reports := a.Reports(b.Digest(later), later); len(reports) > 0 {
		t.Errorf("%d reports are sent again to a node that has them", len(reports))
	}
}

// Guards against memory that grows with the requests under which leaves crash, and against
// forgetting a quarantined request because of others.
func TestRegistryIsBounded(t *testing.T) {
	r := anvilquarantine.New()
	crash(r, fingerprint(0), false, start, 1, 2, 3)
	crash(r, fingerprint(0), true, start, 4, 5)
	for i := range 5000 {
		crash(r, fingerprint(i+1), false, start.Add(time.Duration(i)*time.Millisecond), 1)
	}
	checkStatus(t, r, fingerprint(0), start.Add(5*time.Second), anvilquarantine.StatusQuarantined, "many other requests")
	digest := r.Digest(start.Add(5 * time.Second))
	if digest == 0 {
		t.Error("the digest of a registry with a quarantined request is 0")
	}
	if r.Empty(start.Add(time.Minute)) {
		t.Error("the registry has forgotten a quarantined request")
	}
	if !r.Empty(start.Add(time.Hour)) {
		t.Error("the registry keeps requests that have not come for an hour")
	}
}

// Guards against the refusal of a request that is in use all the time: the leaf of its trial
// crashed because of another request.
func TestCrashOfOneTrialDoesNotQuarantine(t *testing.T) {
	r := anvilquarantine.New()
	f := fingerprint(0)
	crash(r, f, false, start, 1, 2, 3)
	crash(r, f, true, start, 4)
	checkStatus(t, r, f, start, anvilquarantine.StatusSuspected, "the leaf of one trial has crashed")
	r.RecordAnswer(f, start.Add(time.Second))
	crash(r, f, false, start.Add(2*time.Second), 5, 6, 7)
	crash(r, f, true, start.Add(2*time.Second), 8)
	checkStatus(t, r, f, start.Add(2*time.Second), anvilquarantine.StatusSuspected, "the leaf of one trial has crashed since the answer")
}

// Guards against the refusal of a request without a trial: its quarantine is over, and another
// node passes on that a leaf has crashed under it outside a trial.
func TestCrashAfterQuarantineDoesNotRenewIt(t *testing.T) {
	r, other := anvilquarantine.New(), anvilquarantine.New()
	f := fingerprint(0)
	crash(r, f, false, start, 1, 2, 3)
	crash(r, f, true, start, 4, 5)
	after := start.Add(anvilquarantine.Duration)
	crash(other, f, false, after, 6)
	r.Merge(other.Reports(0, after), after)
	checkStatus(t, r, f, after, anvilquarantine.StatusSuspected, "a node passes on a crash outside a trial")
	crash(other, f, false, after, 7, 8)
	crash(other, f, true, after, 9, 10)
	r.Merge(other.Reports(0, after), after)
	checkStatus(t, r, f, after, anvilquarantine.StatusQuarantined, "a node passes on a new quarantine")
}
