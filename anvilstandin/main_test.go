package anvilstandin_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against connections and handlers that outlive a stand-in.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
