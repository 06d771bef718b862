package anvilstate_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilstate"
)

// TestObservationsKeepTheirAge guards against an outdated observation that counts
// as newer than a current one: a candidate that reads the state of a leaf often but
// has not called the leaf for long must not override the candidate that calls it
// now.
func TestObservationsKeepTheirAge(t *testing.T) {
	now := time.Unix(1000, 0)
	s := anvilstate.New()
	reported := anvilmodel.LeafState{Leaf: "leaf-1", Incarnation: 3, Load: 0.5}
	observed := anvilmodel.LeafState{Incarnation: 3, Age: time.Hour}
	s.Set(reported, observed, true, now)
	states, version := s.ChangesSince(0, now.Add(time.Second))
	want := []anvilmodel.LeafState{
		{Leaf: "leaf-1", Incarnation: 3, Load: 0.5, Age: time.Second},
		{Leaf: "leaf-1", Incarnation: 3, Observed: true, Age: time.Hour + time.Second},
	}
	if diff := cmp.Diff(want, states); diff != "" {
		t.Error(diff)
	}
	// Only changes are returned.
	s.Set(reported, observed, true, now.Add(time.Minute))
	observed.Cold = true
	later, _ := s.ChangesSince(version, now)
	s.Set(reported, observed, true, now.Add(time.Minute))
	cold, _ := s.ChangesSince(version, now.Add(time.Minute))
	if len(later) != 0 || len(cold) != 1 || !cold[0].Observed || !cold[0].Cold {
		t.Errorf("got changes %v without a change, then %v, want one observation", later, cold)
	}
}
