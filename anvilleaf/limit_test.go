package anvilleaf_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// Rules that the default was weighed against.

func fixedRule(s anvilleaf.LimitSample) float64 { return float64(s.Slots) }

func shedOnlyRule(s anvilleaf.LimitSample) float64 {
	s.Recent = s.Floor
	return gatedRule(s)
}

// gatedRule is the default without the hold after a shed.
func gatedRule(s anvilleaf.LimitSample) float64 {
	s.ShedAt = 0
	return anvilleaf.DefaultRule(s)
}

// gradientRule moves the limit with the ratio of the floor to the recent
// service time, and leaves room for the square root of the limit.
func gradientRule(s anvilleaf.LimitSample) float64 {
	if s.Shed {
		return s.Limit / 2
	}
	if !s.InUse || s.Floor == 0 {
		return s.Limit
	}
	ratio := min(max(1.5*float64(s.Floor)/float64(s.Recent), 0.5), 1)
	return 0.95*s.Limit + 0.05*(s.Limit*ratio+math.Sqrt(s.Limit))
}

// BenchmarkLimitRules compares limit rules on one leaf of 3 slots in virtual
// time. It prints the shares of calls that were good, shed by the leaf, refused
// by the dispatcher or late, and the 99th percentile in milliseconds of good
// calls, and of the urgent fifth of them, from submission to reply.
func BenchmarkLimitRules(b *testing.B) {
	rules := map[string]anvilleaf.LimitRule{
		"1-fixed":     fixedRule,
		"2-shed-only": shedOnlyRule,
		"3-gated":     gatedRule,
		"4-gradient":  gradientRule,
		"5-default":   anvilleaf.DefaultRule,
	}
	for _, leaf := range []string{"queues", "sheds"} {
		for _, load := range []float64{0.7, 0.95, 1.3} {
			for nodes := 1; nodes <= 2; nodes++ {
				for _, name := range slices.Sorted(maps.Keys(rules)) {
					b.Run(fmt.Sprintf("%s/load=%g/nodes=%d/%s", leaf, load, nodes, name), func(b *testing.B) {
						for b.Loop() {
							limitTrial(b, leaf == "queues", load, nodes, rules[name])
						}
					})
				}
			}
		}
	}
}

func limitTrial(b *testing.B, queues bool, load float64, nodes int, rule anvilleaf.LimitRule) {
	b.Helper()
	const mean = 8 * time.Millisecond
	s := newSim(7, 3, queues)
	s.service = func() time.Duration {
		// A fixed part and an exponential part; one call in 50 takes 5 times as long.
		t := mean/2 + time.Duration(s.rand.ExpFloat64()*float64(mean/2))
		if s.rand.IntN(50) == 0 {
			t *= 5
		}
		return t
	}
	submitted := map[anvilmodel.CallID]time.Time{}
	counts := map[string]float64{}
	var good, urgent []float64
	for range nodes {
		n := s.add(anvilleaf.Config{
			Slots: 3,
			Share: anvilleaf.Share{
				Connections: 10,
				Cold:        1,
			},
			Rule: rule,
		})
		n.adopt(1, false, 0)
		n.onReply = func(c anvilmodel.Call, r anvilmodel.CallReply) {
			took := s.now.Sub(submitted[r.ID]).Seconds() * 1000
			switch {
			case r.Result == anvilmodel.CallOK:
				good = append(good, took)
				if c.Priority > 0 {
					urgent = append(urgent, took)
				}
			case r.Result == anvilmodel.CallShed && r.Incarnation != 0:
				counts["shed"]++
			case r.Result == anvilmodel.CallShed:
				counts["refused"]++
			default:
				counts["late"]++
			}
		}
	}
	rate := load * 3 / (float64(mean) * 1.08)
	arrivals := 0.0
	var arrive func()
	arrive = func() {
		arrivals++
		id := s.nodes[s.rand.IntN(nodes)].submit(100*time.Millisecond, max(s.rand.IntN(5)-3, 0), false)
		submitted[id] = s.now
		s.after(time.Duration(s.rand.ExpFloat64()/rate), arrive)
	}
	s.after(200*time.Millisecond, arrive)
	s.runFor(60 * time.Second)
	slices.Sort(good)
	slices.Sort(urgent)
	b.ReportMetric(float64(len(good))/arrivals, "good")
	for _, name := range []string{"shed", "refused", "late"} {
		b.ReportMetric(counts[name]/arrivals, name)
	}
	b.ReportMetric(good[len(good)*99/100], "p99")
	b.ReportMetric(urgent[len(urgent)*99/100], "urgent-p99")
}
