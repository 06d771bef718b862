package anvilbalance_test

import (
	"testing"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Guards against calls to a leaf that drains, because the restored store lists its entry of
// before, and against a leaf whose later entries are ignored.
func TestRestoredEntryDoesNotReplaceLaterOne(t *testing.T) {
	started := start.Add(-time.Hour)
	entry := func(startedAt time.Time, report int64, draining bool) anvilbalance.Leaf {
		l := testLeaf(0)
		l.StartedAt = startedAt
		l.ReportNumber = report
		l.Draining = draining
		return l
	}
	for _, c := range []struct {
		what     string
		restored anvilbalance.Leaf
		usable   bool
	}{
		{"an earlier report", entry(started, 4, false), false},
		{"an earlier process", entry(started.Add(-time.Second), 9, false), false},
		{"a later report", entry(started, 6, false), true},
		{"a later process", entry(started.Add(time.Second), 1, false), true},
	} {
		b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 0)
		b.SetLeaf(entry(started, 5, true), start)
		if taken := b.RestoreLeaf(c.restored, start); taken != c.usable {
			t.Errorf("%s: taken %t, want %t", c.what, taken, c.usable)
		}
		if usable := b.ServiceAvailable("s", start); usable != c.usable {
			t.Errorf("%s: usable %t, want %t", c.what, usable, c.usable)
		}
	}
}

// Guards against calls to a leaf that has left, because the restored store lists it again, and
// against one that is never used again although it answers.
func TestRemovedLeafIsCheckedAfterRestore(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{HealthPath: "/health"}, 1)
	l := testLeaf(0)
	b.RemoveLeaf(l.Name, start, 0)
	b.RestoreLeaf(l, start)
	if b.ServiceAvailable("s", start) {
		t.Error("the leaf is used before its health check")
	}
	if due := b.DueHealthChecks(start); len(due) != 1 {
		t.Fatalf("%d health checks are due, want 1", len(due))
	}
	b.FinishHealthCheck(anvilbalance.HealthResult{
		Leaf:     l,
		SentAt:   start,
		Answered: true,
		Healthy:  true,
	}, start)
	if !b.ServiceAvailable("s", start) {
		t.Error("the leaf is not used after its health check")
	}
}

// Guards against a leaf that is not used because its entry, removed while the store was away
// and known from a restored copy before, has been reported again.
func TestReportedLeafIsUsedAfterRestore(t *testing.T) {
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{HealthPath: "/health"}, 1)
	l := testLeaf(0)
	b.RemoveLeaf(l.Name, start, 0)
	l.ReportNumber++
	b.RestoreLeaf(l, start)
	if !b.ServiceAvailable("s", start) {
		t.Error("the leaf is not used although it has reported again")
	}
}

// Guards against calls to a failure domain that is out of service, because the restored store
// does not list it until the operator writes it again, and against one that stays out although
// the operator has returned it.
func TestExcludedDomainOutlastsRestore(t *testing.T) {
	const grace = 5 * time.Second
	b := newBalancer(anvilbalance.Config{}, anvilroute.Service{}, 0)
	l := testLeaf(0)
	l.FailureDomain = "east"
	b.SetLeaf(l, start)
	east := []anvilmodel.FailureDomain{"east"}
	b.SetExcludedDomains(east, 0, start)
	restored := start.Add(time.Second)
	b.SetExcludedDomains(nil, grace, restored)
	b.SetExcludedDomains([]anvilmodel.FailureDomain{"west"}, 0, restored.Add(time.Second))
	if b.ServiceAvailable("s", restored.Add(grace-time.Millisecond)) {
		t.Error("the domain is used within the grace period of a restore")
	}
	if !b.ServiceAvailable("s", restored.Add(grace)) {
		t.Error("the domain is out of service after the grace period")
	}
	again := restored.Add(2 * time.Second)
	b.SetExcludedDomains(nil, grace, again)
	if b.ServiceAvailable("s", again.Add(grace-time.Millisecond)) {
		t.Error("the domain is used within the grace period of a second restore")
	}
	b.SetExcludedDomains(east, 0, again)
	b.SetExcludedDomains(nil, 0, again)
	if !b.ServiceAvailable("s", again) {
		t.Error("the domain is out of service although the operator has returned it")
	}
}
