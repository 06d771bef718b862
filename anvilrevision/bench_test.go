package anvilrevision_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilrevision"
)

const (
	changesPerDay = 230
	secondsPerDay = 24 * 60 * 60
	// controlRate is the bound on a node's control traffic, in bytes a second.
	controlRate = 4096
)

// designBase returns a base file of 1 MB with 3,000 leafs. Each edit up to 10
// adds one line, each in another place.
func designBase(edit int) []anvilconfig.Document {
	var b strings.Builder
	for i := range 3000 {
		if i > 0 && i%290 == 0 && i <= edit*290 {
			fmt.Fprintf(&b, "# edit %d\n", i)
		}
		fmt.Fprintf(&b, "    service-%02d-%04d-a:\n      address: 10.%d.%d.%d:7000\n      failure-domain: fd-%d\n", i%30, i, i/2500, i/250%10, i%250, i%4)
		for line := range 3 {
			fmt.Fprintf(&b, "      # mill %d, section %d: rag lots, beater runs and pulp grades of the season\n", i*7919%10007, line)
		}
	}
	return text(b.String())
}

// BenchmarkSpread measures the virtual time and the hops until a change that one
// watcher has accepted is in force everywhere, as the worst of 5 seeds. Each
// node takes 250 ms to judge it, as measured for 1 MB.
func BenchmarkSpread(b *testing.B) {
	for _, nodes := range []int{4, 16, 64, 256, 410} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("nodes=%d/loss=%.0f%%", nodes, loss*100), func(b *testing.B) {
				for b.Loop() {
					var worst time.Duration
					hops := 0
					for seed := range uint64(5) {
						f := spread(b, nodes, loss, seed)
						worst = max(worst, f.settles(2))
						for _, v := range f.vms {
							hops = max(hops, v.hops)
						}
					}
					b.ReportMetric(worst.Seconds(), "virtual-s")
					b.ReportMetric(float64(hops), "hops")
				}
			})
		}
	}
}

// spread returns a serving fleet in which one node has just accepted version 2.
func spread(b *testing.B, nodes int, loss float64, seed uint64) *fleet {
	b.Helper()
	f := newFleet(b, nodes, seed)
	f.serviceDown = true
	for _, v := range f.vms {
		run(v.Manager, v.HandleDocuments(1, text("one"), f.now, f.now), f.now)
		v.HandlePeerState("vm-000", anvilrevision.State{Serving: true}, f.now)
	}
	f.run(5 * time.Second)
	f.loss = loss
	f.publish(2, "two")
	f.offer(f.vms[0])
	f.run(judging)
	return f
}

// BenchmarkChange measures what a node sends for a one-line change in a base file
// of 1 MB, with announcements, against sending the document, and the average
// rate of a day with 230 changes and the regular exchanges.
func BenchmarkChange(b *testing.B) {
	const nodes, edits = 16, 10
	for b.Loop() {
		f := newFleet(b, nodes, 1)
		sent := func() (total float64) {
			for _, v := range f.vms {
				total += float64(v.bytes) / nodes
			}
			return total
		}
		f.version, f.documents = 1, designBase(0)
		f.settles(1)
		f.run(time.Minute)
		f.serviceDown = true
		before := sent()
		f.run(10 * time.Minute)
		idle := (sent() - before) / (10 * time.Minute).Seconds()
		before = sent()
		for edit := 1; edit <= edits; edit++ {
			f.version, f.documents = uint64(edit+1), designBase(edit)
			f.offer(f.vms[0])
			f.settles(f.version)
			f.run(2 * time.Second)
		}
		change := (sent() - before) / edits
		rate := idle + change*changesPerDay/secondsPerDay
		if rate > controlRate {
			b.Fatalf("%.0f bytes a second and node", rate)
		}
		b.ReportMetric(change, "bytes/node/change")
		b.ReportMetric(float64(len(f.documents[0].Content)), "bytes/document")
		b.ReportMetric(idle, "idle-bytes/s/node")
		b.ReportMetric(rate, "bytes/s/node")
	}
}

// BenchmarkSplit measures the chunks of a base file of 1 MB, and the wall-clock
// time to split and hash it.
func BenchmarkSplit(b *testing.B) {
	content := designBase(0)[0].Content
	b.SetBytes(int64(len(content)))
	count := 0
	for b.Loop() {
		chunks := anvilrevision.Split(content)
		count = len(chunks)
		for _, c := range chunks {
			anvilrevision.HashChunk(c)
		}
	}
	b.ReportMetric(float64(count), "chunks")
	b.ReportMetric(float64(len(content))/float64(count), "bytes/chunk")
}
