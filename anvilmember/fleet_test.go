package anvilmember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

// Guards against control work that grows with the fleet, states that are too old to
// be of use, and dead or leaving members that are used for long. The CPU and memory
// figures are printed only.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{4, 16, 64, 256, 410} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, n)
			}
		})
	}
}

func measureFleet(b *testing.B, n int) {
	b.Helper()
	before := heap()
	p := fleet(b.Fatalf, seed, n)
	p.seconds(60)
	for _, x := range p.processes {
		x.bytes, x.sent = 0, 0
	}
	p.spent = 0
	const period = 30
	p.seconds(period)
	bytes, sent := 0, 0
	for _, x := range p.processes {
		bytes += x.bytes
		sent += x.sent
	}
	perSecond := float64(n * period)
	if float64(bytes)/perSecond > 3000 {
		b.Errorf("%d members: %.0f bytes a second", n, float64(bytes)/perSecond)
	}
	b.ReportMetric(float64(bytes)/perSecond, "B/node/s")
	b.ReportMetric(float64(sent)/perSecond, "messages/node/s")
	b.ReportMetric(float64(p.spent)/perSecond, "cpu-ns/node/s")
	b.ReportMetric((heap()-before)/float64(n), "heap-B/node")
	near, all := p.ages()
	b.ReportMetric(near, "s-load-age-near")
	b.ReportMetric(all, "s-load-age")
	x, y := p.processes[n/2], p.processes[n/2-1]
	p.do(y, func(a *anvilmember.Actions) {
		y.UpdateSelf(anvilmember.SelfState{Serving: true, Leaving: true}, p.now, a)
	})
	leaving := p.until(y, anvilmodel.MemberLeaving)
	p.stop(x)
	gone := p.until(x, anvilmodel.MemberDead)
	if leaving > 4 || gone > 12 {
		b.Errorf("%d members: a leaving one is used for %.1f s, a dead one for %.1f s", n, leaving, gone)
	}
	b.ReportMetric(leaving, "s-to-leaving")
	b.ReportMetric(gone, "s-to-dead")
}

func heap() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// seconds runs the fleet while each node reports the time as its load.
func (p *pump) seconds(n int) {
	for range n {
		p.run(time.Second)
		for _, x := range p.processes {
			p.do(x, func(a *anvilmember.Actions) {
				x.UpdateSelf(anvilmember.SelfState{
					Load:           p.now.Sub(epoch).Seconds(),
					ConfigRevision: 1700,
					Serving:        true,
					TicketEpoch:    300,
				}, p.now, a)
			})
		}
	}
}

// ages returns how old the loads of other nodes are, in the observer's failure
// domain and in all, on average in seconds.
func (p *pump) ages() (near, all float64) {
	nearCount, allCount := 0.0, 0.0
	for _, x := range p.processes {
		for _, e := range x.Members()[1:] {
			age := p.now.Sub(epoch).Seconds() - e.Load
			all += age
			allCount++
			if e.FailureDomain == x.self.FailureDomain {
				near += age
				nearCount++
			}
		}
	}
	return near / max(nearCount, 1), all / allCount
}

// until runs until all others see a node in a status and returns the seconds.
func (p *pump) until(of *process, want anvilmodel.MemberStatus) float64 {
	from := p.now
	for range 600 {
		p.run(100 * time.Millisecond)
		left := 0
		for _, x := range p.live() {
			if e, _ := x.BySlot(of.self.Slot); x != of && e.Status != want {
				left++
			}
		}
		if left == 0 {
			break
		}
	}
	return p.now.Sub(from).Seconds()
}
