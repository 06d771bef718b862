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
		Leaf:  "a",
		Slots: 3,
		Share: anvilleaf.Share{Connections: 10, Cold: 1},
	}, now)
	actions := d.AdoptJudgement(anvilmodel.LeafState{Incarnation: 1}, now, nil)
	id := anvilmodel.CallID{Request: "0123456789abcdef", Origin: 7}
	call := anvilmodel.Call{Leaf: "a", Timeout: 100 * time.Millisecond}
	one := func() {
		id.Attempt++
		call.ID = id
		now = now.Add(time.Millisecond)
		actions = d.Submit(call, now, actions[:0])
		for _, a := range actions {
			if a.Kind == anvilleaf.ActionOpen {
				actions = d.Opened(a.Connection, 1, now, actions)
			}
		}
		now = now.Add(time.Millisecond)
		connection := 0
		for _, a := range actions {
			if a.Kind == anvilleaf.ActionStart {
				connection = a.Connection
			}
		}
		actions = d.Done(anvilleaf.Outcome{
			Reply: anvilmodel.CallReply{
				ID:          id,
				Result:      anvilmodel.CallOK,
				Incarnation: 1,
			},
			Connection: connection,
			Written:    true,
		}, now, actions[:0])
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
