package anvilgateway

import (
	"math"
	"sync/atomic"
	"syscall"
	"time"
)

// loadSmoothing is the weight of the latest sample, taken about once per second, in the
// moving average of the load.
const loadSmoothing = 0.4

// processorLoad is the fraction of the node's processor time that is in use.
type processorLoad struct {
	smoothedBits atomic.Uint64
	lastUsage    time.Duration
	lastMeasured time.Time
}

func (l *processorLoad) value() float64 {
	return math.Float64frombits(l.smoothedBits.Load())
}

// measure adds the processor time used since the last call to the average. It is called
// by one goroutine only. After an error the load keeps its value.
func (l *processorLoad) measure(now time.Time, cores float64) error {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return err
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	if elapsed := now.Sub(l.lastMeasured); !l.lastMeasured.IsZero() && elapsed > 0 {
		share := float64(used-l.lastUsage) / float64(elapsed) / cores
		load := l.value()
		l.smoothedBits.Store(math.Float64bits(load + loadSmoothing*(share-load)))
	}
	l.lastUsage = used
	l.lastMeasured = now
	return nil
}
