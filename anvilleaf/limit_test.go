package anvilleaf_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// Rules that the default was weighed against.

func fixedRule(s anvilleaf.LimitSample) float64 { return float64(s.Slots) }

func shedOnlyRule(s anvilleaf.LimitSample) float64 {
	s.Recent, s.Floor = 1, 1
	return gatedRule(s)
}

func gatedRule(s anvilleaf.LimitSample) float64 {
	if s.Shed {
		return s.Limit / 2
	}
	if !s.InUse || s.Floor == 0 || float64(s.Recent) > 1.5*float64(s.Floor) {
		return s.Limit
	}
	return s.Limit + 1/s.Limit
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
// time. It prints the share of calls answered in time, the share shed by the
// leaf and the 99th percentile of good calls from submission to reply.
func BenchmarkLimitRules(b *testing.B) {
	rules := []struct {
		name string
		rule anvilleaf.LimitRule
	}{
		{name: "fixed", rule: fixedRule},
		{name: "shed-only", rule: shedOnlyRule},
		{name: "gated", rule: gatedRule},
		{name: "gradient", rule: gradientRule},
		{name: "default", rule: anvilleaf.DefaultRule},
	}
	for _, leaf := range []string{"queues", "sheds"} {
		for _, load := range []float64{0.95, 1.3} {
			for _, nodes := range []int{1, 2} {
				for _, r := range rules {
					name := leaf + "/load=" + strconv.FormatFloat(load, 'g', -1, 64) + "/nodes=" + strconv.Itoa(nodes) + "/" + r.name
					b.Run(name, func(b *testing.B) {
						for b.Loop() {
							limitTrial(b, leaf == "queues", load, nodes, r.rule)
						}
					})
				}
			}
		}
	}
}

func limitTrial(b *testing.B, queues bool, load float64, nodes int, rule anvilleaf.LimitRule) {
	const (
		slots  = 3
		mean   = 8 * time.Millisecond
		length = 60 * time.Second
	)
	s := &sim{
		now:    epoch,
		rand:   rand.New(rand.NewPCG(7, uint64(nodes))),
		delay:  500 * time.Microsecond,
		slots:  slots,
		queues: queues,
	}
	s.service = func() time.Duration {
		// A fixed part and an exponential part; one call in 50 takes 5 times as long.
		t := mean/2 + time.Duration(s.rand.ExpFloat64()*float64(mean/2))
		if s.rand.IntN(50) == 0 {
			t *= 5
		}
		return t
	}
	s.restart(1)
	for range nodes {
		n := s.add(anvilleaf.Config{
			Leaf:  "a",
			Slots: slots,
			Share: anvilleaf.Share{Connections: 10, Cold: 1},
			Rule:  rule,
		})
		n.do(n.d.AdoptJudgement(anvilmodel.LeafState{Incarnation: 1}, s.now, nil))
	}
	s.runFor(200 * time.Millisecond)
	submitted := map[anvilmodel.CallID]time.Time{}
	var good, urgent []time.Duration
	sheds, refused, late := 0, 0, 0
	for _, n := range s.nodes {
		n.onReply = func(r anvilmodel.CallReply) {
			switch {
			case r.Result == anvilmodel.CallOK:
				good = append(good, s.now.Sub(submitted[r.ID]))
				if r.ID.Request[len(r.ID.Request)-1] < '2' {
					urgent = append(urgent, s.now.Sub(submitted[r.ID]))
				}
			case r.Result == anvilmodel.CallShed && r.Incarnation != 0:
				sheds++
			case r.Result == anvilmodel.CallShed:
				refused++
			default:
				late++
			}
		}
	}
	rate := load * slots / (float64(mean) * 1.08)
	arrivals := 0
	var arrive func()
	arrive = func() {
		arrivals++
		n := s.nodes[s.rand.IntN(nodes)]
		before := n.calls
		submitted[anvilmodel.CallID{
			Request: anvilmodel.RequestID(strconv.Itoa(before + 1)),
			Origin:  anvilmodel.Incarnation(nodes),
			Attempt: slices.Index(s.nodes, n),
		}] = s.now
		c := anvilmodel.Call{Leaf: "a", Timeout: 100 * time.Millisecond}
		if (before+1)%10 < 2 {
			c.Priority = 1
		}
		n.submit(c)
		s.after(time.Duration(s.rand.ExpFloat64()/rate), arrive)
	}
	s.after(0, arrive)
	s.runFor(length)
	slices.Sort(good)
	slices.Sort(urgent)
	b.ReportMetric(float64(len(urgent))/float64(arrivals)*5, "urgent-good")
	b.ReportMetric(urgent[len(urgent)*99/100].Seconds()*1000, "urgent-p99")
	b.ReportMetric(float64(len(good))/float64(arrivals), "good/call")
	b.ReportMetric(float64(sheds)/float64(arrivals), "shed/call")
	b.ReportMetric(float64(refused)/float64(arrivals), "refused/call")
	b.ReportMetric(float64(late)/float64(arrivals), "late/call")
	b.ReportMetric(good[len(good)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(good[len(good)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(s.nodes[0].d.Status(s.now).Adaptive, "limit")
}
