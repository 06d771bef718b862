package anvilmember_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
)

// Guards against traffic per node that grows with the fleet, and against dead or leaving
// members that stay in use for long. Load ages, CPU and memory are only reported.
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
	before := heapBytes()
	sim := startFleet(b.Fatalf, seed, n)
	sim.runSeconds(60)
	for _, process := range sim.processes {
		process.sentBytes, process.sentMessages = 0, 0
	}
	sim.membershipTime = 0
	const period = 30
	sim.runSeconds(period)
	bytes, messages := 0, 0
	for _, process := range sim.processes {
		bytes += process.sentBytes
		messages += process.sentMessages
	}
	perSecond := float64(n * period)
	if float64(bytes)/perSecond > 3000 {
		b.Errorf("%d members: %.0f bytes per node and second, want at most 3000", n, float64(bytes)/perSecond)
	}
	b.ReportMetric(float64(bytes)/perSecond, "B/node/s")
	b.ReportMetric(float64(messages)/perSecond, "messages/node/s")
	b.ReportMetric(float64(sim.membershipTime)/perSecond, "cpu-ns/node/s")
	b.ReportMetric((heapBytes()-before)/float64(n), "heap-B/node")
	sameDomain, all := sim.loadAges()
	b.ReportMetric(sameDomain, "s-load-age-near")
	b.ReportMetric(all, "s-load-age")
	stopped, left := sim.processes[n/2], sim.processes[n/2-1]
	sim.call(left, func(a *anvilmember.Actions) {
		left.UpdateSelf(anvilmember.SelfState{Serving: true, Leaving: true}, sim.now, a)
	})
	leavingTime := sim.timeUntilStatus(left, anvilmodel.MemberLeaving)
	sim.stop(stopped)
	deadTime := sim.timeUntilStatus(stopped, anvilmodel.MemberDead)
	if leavingTime > 4 || deadTime > 12 {
		b.Errorf("%d members: a leaving one is in use for %.1f s, want at most 4, a dead one for %.1f s, want at most 12", n, leavingTime, deadTime)
	}
	b.ReportMetric(leavingTime, "s-to-leaving")
	b.ReportMetric(deadTime, "s-to-dead")
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// runSeconds runs the fleet for n seconds. Each node reports the current time as its load.
func (sim *simulation) runSeconds(n int) {
	for range n {
		sim.run(time.Second)
		for _, process := range sim.processes {
			sim.call(process, func(a *anvilmember.Actions) {
				process.UpdateSelf(anvilmember.SelfState{
					Load:           sim.now.Sub(startTime).Seconds(),
					RequestRate:    200,
					ConfigRevision: 1700,
					Serving:        true,
					TicketEpoch:    300,
				}, sim.now, a)
			})
		}
	}
}

// loadAges returns the average age in seconds of the loads that nodes have of others, in
// their own failure domain and in all.
func (sim *simulation) loadAges() (sameDomain, all float64) {
	sameDomainCount, allCount := 0.0, 0.0
	for _, process := range sim.processes {
		for _, member := range process.Members()[1:] {
			age := sim.now.Sub(startTime).Seconds() - member.Load
			all += age
			allCount++
			if member.FailureDomain == process.self.FailureDomain {
				sameDomain += age
				sameDomainCount++
			}
		}
	}
	return sameDomain / max(sameDomainCount, 1), all / allCount
}

// timeUntilStatus runs until all other nodes have a node in a status, and returns the
// time in seconds.
func (sim *simulation) timeUntilStatus(observed *simulatedProcess, want anvilmodel.MemberStatus) float64 {
	begin := sim.now
	for range 600 {
		sim.run(100 * time.Millisecond)
		missing := 0
		for _, process := range sim.running() {
			if member, _ := process.BySlot(observed.self.Slot); process != observed && member.Status != want {
				missing++
			}
		}
		if missing == 0 {
			break
		}
	}
	return sim.now.Sub(begin).Seconds()
}
