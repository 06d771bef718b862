package anvilstandin_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines of connections and handlers that still run
// after a fake was stopped.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
