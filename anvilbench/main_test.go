package anvilbench_test

import (
	"flag"
	"os"
	"runtime/debug"
	"testing"
)

// TestMain raises the garbage collection target, which shortens the benchmarks by
// a third, and prints the result tables at the end.
func TestMain(m *testing.M) {
	flag.Parse()
	debug.SetGCPercent(800)
	code := m.Run()
	writeTables()
	os.Exit(code)
}
