package anvilrevision_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"anvilbridge/anvilrevision"
)

// A node whose VM list contains no other VM serves what the configuration service
// returns.
func ExampleManager() {
	now := time.Unix(1_000_000, 0)
	m := anvilrevision.New(anvilrevision.Config{Self: "vm-1", Validate: validate, Random: rand.New(rand.NewPCG(1, 1))}, now)
	m.SetVMList(nil, nil, now)
	for _, a := range m.HandleDocuments(7, documentWith("sites: [ville]"), now, now) {
		// The node runs the task without holding the lock of the manager.
		for _, b := range m.HandleTaskResult(a.Task.Run(), now) {
			if b.Cause != "" {
				fmt.Println(b.Revision.Version, b.Cause)
			}
		}
	}
	// Output:
	// 7 version 7 from configuration service
	// 7 the VM list names no other live VM
}
