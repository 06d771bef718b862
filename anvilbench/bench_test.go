package anvilbench_test

import (
	"testing"

	"anvilbridge/anvilbench"
)

func BenchmarkFigures(b *testing.B) {
	for _, s := range anvilbench.Scenarios() {
		for _, v := range anvilbench.Variants() {
			b.Run(s.Name+"/"+v.Name, func(b *testing.B) {
				var r *anvilbench.Result
				for b.Loop() {
					r = anvilbench.Run(s, v, 1)
				}
				for _, k := range r.Streams {
					b.Logf("%-8s n=%d p50=%v p99=%v p99.9=%v intime=%.4f full=%.4f cov=%.4f ref=%v late=%d/%d lost=%d", k.Label, k.Offered, k.Latency(50), k.Latency(99), k.Latency(99.9), k.InTimeShare(), k.FullInTimeShare(), k.Coverage(), k.Refused, k.LateAtNode, k.LateAtCaller, k.Lost)
				}
				b.Logf("extra=%.4f hedge=%.4f retry=%.4f cold=%d wrong=%d/%d forb=%d unf=%d rep=%d false=%d sheds=%d refused=%d conn=%d moves=%d restarts=%d", r.Extra(), float64(r.Hedges)/float64(r.Primaries), float64(r.Retries)/float64(r.Primaries), r.ColdViolations, r.WrongParts, r.WrongCoverage, r.ForbiddenCalls, r.Unfinished, r.Repeated, r.FalseNotRun, r.LeafSheds, r.DispatcherRefusals, r.ConnectionsRefused, r.Counters.Moves, r.Counters.Restarts)
			})
		}
	}
}
