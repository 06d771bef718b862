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
	// maxControlRate bounds the control traffic of a node, in bytes per second.
	maxControlRate = 4096
)

// largeDocument returns a base file of 1 MB with 3,000 leaves. Each edit, up to 10,
// adds one line in another place.
func largeDocument(edit int) []anvilconfig.Document {
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
	return documentWith(b.String())
}

// BenchmarkSpread measures the virtual time and the peer transfers until a change that
// one node has accepted is active on all nodes, as the maximum of 5 seeds. Each node
// takes 250 ms to validate it, as measured for 1 MB.
func BenchmarkSpread(b *testing.B) {
	for _, nodes := range []int{4, 16, 64, 256, 410} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			b.Run(fmt.Sprintf("nodes=%d/loss=%.0f%%", nodes, loss*100), func(b *testing.B) {
				for b.Loop() {
					var worst time.Duration
					hops := 0
					for seed := range uint64(5) {
						f := fleetAfterChange(b, nodes, loss, seed)
						worst = max(worst, f.awaitVersion(2))
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

// fleetAfterChange returns a serving fleet in which one node has just accepted version
// 2.
func fleetAfterChange(b *testing.B, nodes int, loss float64, seed uint64) *fleet {
	b.Helper()
	f := newFleet(b, nodes, seed)
	f.serviceDown = true
	for _, v := range f.vms {
		runTasks(v.Manager, v.HandleDocuments(1, documentWith("one"), f.now, f.now), f.now)
		v.HandlePeerState("vm-000", anvilrevision.State{Serving: true}, f.now)
	}
	f.advance(5 * time.Second)
	f.lossRate = loss
	f.publish(2, "two")
	f.deliverDocuments(f.vms[0])
	f.advance(validationTime)
	return f
}

// BenchmarkChange measures the bytes that a node sends for a one-line change in a base
// file of 1 MB, state exchanges included, next to the size of the document. It also
// measures the average rate of a day with 230 changes and the regular exchanges.
func BenchmarkChange(b *testing.B) {
	const nodes, edits = 16, 10
	for b.Loop() {
		f := newFleet(b, nodes, 1)
		sent := func() (total float64) {
			for _, v := range f.vms {
				total += float64(v.bytesSent) / nodes
			}
			return total
		}
		f.version, f.documents = 1, largeDocument(0)
		f.awaitVersion(1)
		f.advance(time.Minute)
		f.serviceDown = true
		before := sent()
		f.advance(10 * time.Minute)
		idle := (sent() - before) / (10 * time.Minute).Seconds()
		before = sent()
		for edit := 1; edit <= edits; edit++ {
			f.version, f.documents = uint64(edit+1), largeDocument(edit)
			f.deliverDocuments(f.vms[0])
			f.awaitVersion(f.version)
			f.advance(2 * time.Second)
		}
		change := (sent() - before) / edits
		rate := idle + change*changesPerDay/secondsPerDay
		if rate > maxControlRate {
			b.Fatalf("%.0f bytes of control traffic per second and node", rate)
		}
		b.ReportMetric(change, "bytes/node/change")
		b.ReportMetric(float64(len(f.documents[0].Content)), "bytes/document")
		b.ReportMetric(idle, "idle-bytes/s/node")
		b.ReportMetric(rate, "bytes/s/node")
	}
}

// BenchmarkSplit measures the number and size of the chunks of a base file of 1 MB, and
// the wall-clock time to split and hash it.
func BenchmarkSplit(b *testing.B) {
	content := largeDocument(0)[0].Content
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
