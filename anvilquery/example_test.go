package anvilquery_test

import (
	"fmt"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// A query to a service of two shards: one leaf replies, the other sheds the call
// and no other leaf holds its shard, so the answer is partial and leaves at once.
func ExampleOrigin() {
	now := time.Unix(0, 0)
	o := anvilquery.NewOrigin(anvilquery.Config{Incarnation: 7})
	o.SetLeafs([]anvilmodel.Leaf{{Name: "mill-0", Service: "registry"}, {Name: "mill-1", Service: "registry"}})
	for i, name := range []anvilmodel.LeafName{"mill-0", "mill-1"} {
		o.ObserveState(anvilmodel.LeafState{
			Leaf:        name,
			Incarnation: 1,
			Holdings:    []anvilmodel.Holding{{Snapshot: 5, Shard: anvilmodel.Shard(i), Shards: 2}},
		}, now)
	}
	_, actions := o.Start(anvilmodel.Request{
		ID:      "lots-1",
		Service: "registry",
		Class:   anvilmodel.Class{Mode: anvilmodel.ModeBroad, ReturnReserve: 2 * time.Millisecond},
		Timeout: 100 * time.Millisecond,
	}, now, nil)
	now = now.Add(4 * time.Millisecond)
	var more []anvilquery.Action
	for _, a := range actions {
		reply := anvilmodel.CallReply{
			ID:          a.Call.ID,
			Leaf:        a.Call.Leaf,
			Incarnation: 1,
			Result:      anvilmodel.CallOK,
			Holding:     anvilmodel.Holding{Snapshot: 5, Shard: a.Call.Shard, Shards: 2},
		}
		if a.Call.Leaf == "mill-1" {
			reply.Result = anvilmodel.CallShed
			reply.Ran = anvilmodel.RunStateNotRun
		}
		_, more = o.Handle(reply, now, more)
	}
	for _, a := range more {
		fmt.Println(a.Kind, a.Answer.Snapshot, a.Answer.Coverage, a.Answer.Took)
	}
	// Output:
	// finish 5 {1 2 [1]} 4ms
}
