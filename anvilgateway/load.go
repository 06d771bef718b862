package anvilgateway

import (
	"math"
	"sync/atomic"
	"syscall"
	"time"
)

// loadSmoothing is the weight of the newest second in the load.
const loadSmoothing = 0.4

// processorLoad is the share of the node's processor time in use.
type processorLoad struct {
	bits atomic.Uint64
	used time.Duration
	at   time.Time
}

func (l *processorLoad) value() float64 {
	return math.Float64frombits(l.bits.Load())
}

// measure takes the processor time used since the last call. One goroutine calls
// it. After an error the load keeps its value.
func (l *processorLoad) measure(now time.Time, cores float64) error {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return err
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	if passed := now.Sub(l.at); !l.at.IsZero() && passed > 0 {
		share := float64(used-l.used) / float64(passed) / cores
		load := l.value()
		l.bits.Store(math.Float64bits(load + loadSmoothing*(share-load)))
	}
	l.used = used
	l.at = now
	return nil
}
