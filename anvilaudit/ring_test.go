package anvilaudit_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilaudit"
)

// Guards against events returned out of order after the ring buffer has wrapped around.
func TestRingKeepsTheMostRecentEventsInOrder(t *testing.T) {
	written := 0
	ring := anvilaudit.New(anvilaudit.Config{
		Capacity: 3,
		Write:    func(anvilaudit.Event) { written++ },
	})
	for i := range 5 {
		ring.Add(anvilaudit.Event{
			Kind:    anvilaudit.KindMemberDead,
			Subject: fmt.Sprint(i),
		})
	}
	got := []string{}
	for _, e := range ring.Recent(2) {
		got = append(got, e.Subject)
	}
	if diff := cmp.Diff([]string{"3", "4"}, got); diff != "" {
		t.Errorf("recent events (-want +got):\n%s", diff)
	}
	if written != 5 || ring.Total() != 5 || len(ring.Recent(9)) != 3 {
		t.Errorf("written %d, total %d, kept %d", written, ring.Total(), len(ring.Recent(9)))
	}
}

// Guards against unbounded memory for an event with a change in every field, as after a
// complete rewrite of the base file.
func TestRingBoundsTheChangesOfAnEvent(t *testing.T) {
	ring := anvilaudit.New(anvilaudit.Config{})
	ring.Add(anvilaudit.Event{
		Kind:    anvilaudit.KindConfigAccepted,
		Changes: make([]anvilaudit.Change, 100_000),
	})
	if got := len(ring.Recent(1)[0].Changes); got != 256 {
		t.Errorf("kept %d changes, want 256", got)
	}
}

func ExampleRing() {
	ring := anvilaudit.New(anvilaudit.Config{
		Capacity: 16,
	})
	ring.Add(anvilaudit.Event{
		Kind:     anvilaudit.KindDomainOut,
		Subject:  "fd-2",
		Cause:    "overlay-sfax.yaml sets state out",
		Revision: 7,
	})
	for _, e := range ring.Recent(10) {
		fmt.Println(e.Kind, e.Subject, e.Revision)
	}
	// Output: failure-domain-out fd-2 7
}
