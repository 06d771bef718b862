package anvilleaf_test

import (
	"fmt"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

func ExampleDispatcher() {
	now := time.Date(2024, 3, 1, 6, 0, 0, 0, time.UTC)
	d := anvilleaf.New(anvilleaf.Config{
		Leaf:  "registry-1a",
		Slots: 3,
		Share: share(10, 1),
	}, now)
	// Another candidate reports the leaf's process as warm.
	actions := d.ObservePeerState(anvilmodel.LeafState{Incarnation: 7}, now, nil)
	actions = d.Submit(anvilmodel.Call{Timeout: 100 * time.Millisecond}, now, actions)
	fmt.Println(actions[0].Kind, actions[0].Connection)
	now = now.Add(6 * time.Millisecond)
	actions = d.ConnectionOpened(1, 7, now, actions[:0])
	fmt.Println(actions[0].Kind, actions[0].Connection, actions[0].Call.Timeout)
	// Output:
	// open 1
	// start 1 94ms
}
