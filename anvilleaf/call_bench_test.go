package anvilleaf_test

import (
	"testing"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// BenchmarkCall measures one call from Submit over its start to Done on a warm
// leaf, with the connections in use. The bound is 4 allocations per call.
func BenchmarkCall(b *testing.B) {
	now := epoch
	d := anvilleaf.New(anvilleaf.Config{
		Slots: 3,
		Share: anvilleaf.Share{
			Connections: 10,
			Cold:        1,
		},
	}, now)
	actions := d.AdoptJudgement(anvilmodel.LeafState{Incarnation: 1}, now, nil)
	call := anvilmodel.Call{Timeout: timeout}
	call.ID.Request = "0123456789abcdef"
	outcome := anvilleaf.Outcome{Written: true}
	outcome.Reply.Result = anvilmodel.CallOK
	outcome.Reply.Incarnation = 1
	one := func() {
		call.ID.Attempt++
		outcome.Reply.ID = call.ID
		actions = d.Submit(call, now, actions[:0])
		for _, a := range actions {
			if a.Kind == anvilleaf.ActionOpen {
				actions = d.Opened(a.Connection, 1, now, actions)
			}
		}
		now = now.Add(time.Millisecond)
		for _, a := range actions {
			if a.Kind == anvilleaf.ActionStart {
				outcome.Connection = a.Connection
			}
		}
		actions = d.Done(outcome, now, actions[:0])
	}
	for range 100 {
		one()
	}
	b.ReportAllocs()
	for b.Loop() {
		one()
	}
	if c := d.Status(now).Counters; c.Started != c.Submitted {
		b.Fatalf("started %d of %d calls", c.Started, c.Submitted)
	}
}
