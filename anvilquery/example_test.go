package anvilquery_test

import (
	"fmt"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// A query to a service of one shard and one leaf.
func ExampleOrigin() {
	now := time.Unix(0, 0)
	held := []anvilmodel.Holding{{
		Snapshot:   5,
		ShardCount: 1,
	}}
	o := anvilquery.NewOrigin(anvilquery.Config{
		Incarnation: 7,
	})
	o.SetLeaves([]anvilmodel.Leaf{{
		Name:    "desk-a",
		Service: "archive-desk",
	}})
	o.ObserveState(anvilmodel.LeafState{
		Leaf:     "desk-a",
		Holdings: held,
	}, now)
	_, actions := o.Start(anvilmodel.Request{
		ID:      "lot-1",
		Service: "archive-desk",
		Timeout: 100 * time.Millisecond,
	}, now, nil)
	call := actions[0].Call
	fmt.Println(call.Leaf, call.Snapshot, call.Shard, call.Timeout)
	_, actions = o.HandleReply(anvilmodel.CallReply{
		ID:      call.ID,
		Leaf:    call.Leaf,
		Result:  anvilmodel.CallOK,
		Holding: held[0],
	}, now.Add(4*time.Millisecond), nil)
	fmt.Println(actions[0].Kind, actions[0].Answer.Coverage, actions[0].Answer.Elapsed)
	// Output:
	// desk-a 5 0 100ms
	// finish {1 1 []} 4ms
}
