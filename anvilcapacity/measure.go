package anvilcapacity

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// repeats is how often a CPU time is measured; the least is taken, because
// other work on the machine only adds to it.
const repeats = 3

// cpuTime returns the CPU time of the process so far, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	// Getrusage of the own process does not fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuOf returns the CPU time of the process during work, in seconds, garbage
// collection included.
func cpuOf(work func()) float64 {
	runtime.GC()
	before := cpuTime()
	work()
	return (cpuTime() - before).Seconds()
}

// leastCPU returns the least CPU time of several runs, in seconds.
func leastCPU(work func()) float64 {
	least := math.Inf(1)
	for range repeats {
		least = min(least, cpuOf(work))
	}
	return least
}

// liveHeap returns the bytes that are reachable. The second collection frees
// what finalizers and pools held.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// retained returns the bytes that what build returns keeps alive.
func retained[T any](build func() T) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return max(after-before, 0)
}

// allocated returns the bytes that are allocated during work.
func allocated(work func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	work()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

// floats converts sizes for a Slope.
func floats(sizes []int) []float64 {
	converted := make([]float64, len(sizes))
	for i, n := range sizes {
		converted[i] = float64(n)
	}
	return converted
}
