package anvilupstream_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against connections and goroutines that outlive a client or a
// fake leaf.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
