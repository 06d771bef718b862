package anvilrevision_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilrevision"
)

// A keeper alone in the list serves what the configuration service returns.
func ExampleManager() {
	now := time.Unix(1_000_000, 0)
	k := anvilrevision.New(anvilrevision.Config{Self: "vm-1", Validate: judge, Random: rand.New(rand.NewPCG(1, 1))}, now)
	k.SetVMList(nil, nil, now)
	for _, a := range k.HandleDocuments(7, text("sites: [ville]"), now, now) {
		// The node runs the task without holding the lock of the keeper.
		for _, b := range k.HandleTaskResult(a.Task.Run(), now) {
			if b.Cause != "" {
				fmt.Println(b.Revision.Version, b.Cause)
			}
		}
	}
	// Output:
	// 7 version 7 from configuration service
	// 7 the VM list names no other live VM
}
