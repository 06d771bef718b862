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

// gradientRule adjusts the limit by the ratio of the baseline to the mean
// service time, plus headroom of the square root of the limit.
func gradientRule(s anvilleaf.LimitSample) float64 {
	if s.Shed {
		return s.Limit / 2
	}
	if !s.LimitReached || s.BaselineServiceTime == 0 {
		return s.Limit
	}
	ratio := min(max(1.5*float64(s.BaselineServiceTime)/float64(s.MeanServiceTime), 0.5), 1)
	return 0.95*s.Limit + 0.05*(s.Limit*ratio+math.Sqrt(s.Limit))
}

// BenchmarkLimitRules compares limit rules on one leaf of 3 slots in virtual
// time. It reports the shares of calls that succeeded, were shed by the leaf,
// were refused by the dispatcher or timed out. It also reports the 99th
// percentile in milliseconds from submission to reply of the successful calls,
// and of the urgent fifth of them.
func BenchmarkLimitRules(b *testing.B) {
	rules := map[string]anvilleaf.LimitRule{
		"1-fixed": func(s anvilleaf.LimitSample) float64 { return float64(s.Slots) },
		"2-shed-only": func(s anvilleaf.LimitSample) float64 {
			s.MeanServiceTime, s.TimeSinceShed = s.BaselineServiceTime, time.Hour
			return anvilleaf.DefaultLimitRule(s)
		},
		"3-no-hold": func(s anvilleaf.LimitSample) float64 {
			s.TimeSinceShed = time.Hour
			return anvilleaf.DefaultLimitRule(s)
		},
		"4-gradient": gradientRule,
		"5-default":  anvilleaf.DefaultLimitRule,
	}
	for _, leaf := range []string{"queues", "sheds"} {
		for _, load := range []float64{0.7, 0.95, 1.3} {
			for nodes := 1; nodes <= 2; nodes++ {
				for _, name := range slices.Sorted(maps.Keys(rules)) {
					b.Run(fmt.Sprintf("%s/load=%g/nodes=%d/%s", leaf, load, nodes, name), func(b *testing.B) {
						for b.Loop() {
							benchmarkLimitRule(b, leaf == "queues", load, nodes, rules[name])
						}
					})
				}
			}
		}
	}
}

func benchmarkLimitRule(b *testing.B, queues bool, load float64, nodes int, rule anvilleaf.LimitRule) {
	b.Helper()
	const mean = 8 * time.Millisecond
	s := newSim(7, 3, queues)
	s.service = func() time.Duration {
		// A fixed part and an exponential part; one call in 50 takes 5 times as
		// long.
		t := mean/2 + time.Duration(s.rand.ExpFloat64()*float64(mean/2))
		if s.rand.IntN(50) == 0 {
			t *= 5
		}
		return t
	}
	for range nodes {
		s.addNode(anvilleaf.Config{
			Slots:     3,
			Share:     share(10, 1),
			LimitRule: rule,
		}).observePeerState(10, false, 0)
	}
	rate := load * 3 / (float64(mean) * 1.08)
	var arrive func()
	arrive = func() {
		s.nodes[s.rand.IntN(nodes)].submit(timeout, max(s.rand.IntN(5)-3, 0), false)
		s.after(time.Duration(s.rand.ExpFloat64()/rate), arrive)
	}
	s.after(200*time.Millisecond, arrive)
	s.runFor(60 * time.Second)
	arrivals, counts := 0, map[string]int{}
	var successful, urgent []time.Duration
	for _, n := range s.nodes {
		arrivals += len(n.calls)
		for id, c := range n.calls {
			r := n.lastReply[id]
			counts[fmt.Sprint(r.Result, r.Incarnation)]++
			if r.Result == anvilmodel.CallOK {
				successful = append(successful, n.latencies[id])
			}
			if r.Result == anvilmodel.CallOK && c.Priority > 0 {
				urgent = append(urgent, n.latencies[id])
			}
		}
	}
	for name, key := range map[string]string{"good": "ok 10", "shed": "shed 10", "refused": "shed 0", "late": "timeout 0"} {
		b.ReportMetric(float64(counts[key])/float64(arrivals), name)
	}
	slices.Sort(successful)
	slices.Sort(urgent)
	b.ReportMetric(successful[len(successful)*99/100].Seconds()*1000, "p99")
	b.ReportMetric(urgent[len(urgent)*99/100].Seconds()*1000, "urgent-p99")
}

// BenchmarkCall measures one call on a warm leaf from Submit to CallFinished,
// over open connections. The bound is 4 allocations per call.
func BenchmarkCall(b *testing.B) {
	now := epoch
	d := anvilleaf.New(anvilleaf.Config{
		Slots: 3,
		Share: share(10, 1),
	}, now)
	actions := d.ObservePeerState(leafState(10, false, false, 0), now, nil)
	call := anvilmodel.Call{Timeout: timeout}
	call.ID.Request = "0123456789abcdef"
	outcome := anvilleaf.Outcome{
		Connection: 1,
		Written:    true,
	}
	outcome.Reply.Result = anvilmodel.CallOK
	outcome.Reply.Incarnation = 10
	b.ReportAllocs()
	for b.Loop() {
		call.ID.Attempt++
		outcome.Reply.ID = call.ID
		actions = d.Submit(call, now, actions[:0])
		for i := 0; i < len(actions); i++ {
			if actions[i].Kind == anvilleaf.ActionOpen {
				actions = d.ConnectionOpened(actions[i].Connection, 10, now, actions)
			}
		}
		now = now.Add(time.Millisecond)
		actions = d.CallFinished(outcome, now, actions[:0])
	}
	if c := d.Status(now).Counters; c.Started != c.Submitted || c.DroppedReplies > 0 {
		b.Fatalf("%+v", c)
	}
}
