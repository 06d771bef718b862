package anvilcapacity

import (
	"bytes"
	"context"
	"fmt"
	"runtime/metrics"
	"sync"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilrevision"
)

// bytesPerLeaf brings 3,000 leafs to a document of 1 MB.
const bytesPerLeaf = designDocument / designLeafs

// documents returns a base file and the overlays of two sites.
func documents(slots, leafs, size int) []anvilconfig.Document {
	return []anvilconfig.Document{
		{
			Name:    anvilconfig.BaseName,
			Content: baseFile(slots, leafs, size),
		},
		{
			Name:    "north.yaml",
			Content: []byte("site: north\npolicy: {hedge-budget: 0.03}\n"),
		},
		{
			Name:    "south.yaml",
			Content: []byte("site: south\nclasses: {crews: {timeout: 80ms}}\n"),
		},
	}
}

// changed returns the documents with one other line: a leaf's port.
func changed(docs []anvilconfig.Document, leaf int) []anvilconfig.Document {
	old := fmt.Appendf(nil, "%s: {address: \"%s\"", deploymentLeafs(leaf + 1)[leaf].Name, deploymentLeafs(leaf + 1)[leaf].Address)
	edited := append([]anvilconfig.Document{}, docs...)
	edited[0].Content = bytes.Replace(docs[0].Content, old, bytes.Replace(old, []byte(":7000"), []byte(":7009"), 1), 1)
	return edited
}

func judgeDocuments(docs []anvilconfig.Document) anvilrevision.Judgement {
	release, findings := anvilconfig.LoadPublished(docs)
	return anvilrevision.Judgement{
		Release:  release,
		Findings: findings,
	}
}

// measureConfiguration measures a configuration change.
func measureConfiguration(ctx context.Context, _ uint64) ([]Slope, error) {
	slopes, err := measureValidation()
	if err != nil {
		return nil, err
	}
	transfer, err := measureTransfer(ctx)
	if err != nil {
		return nil, err
	}
	platform, err := measurePlatform()
	return append(append(slopes, transfer...), platform...), err
}

// measureValidation loads documents of several sizes.
func measureValidation() ([]Slope, error) {
	sizes := []int{750, 1500, designLeafs}
	slope := func(name, what string, kind Kind, unit string, targets ...Target) Slope {
		return Slope{
			Name:     "configuration-" + name,
			What:     what + ", 350 bytes for each leaf, 410 slots, 2 sites",
			Kind:     kind,
			Unit:     unit,
			SizeName: "leafs",
			Sizes:    floats(sizes),
			Targets:  targets,
		}
	}
	cpu := slope("cpu", "validating all documents", KindCPU, "s",
		Target{What: "230 changes a day", Size: designLeafs, Factor: changesPerSec, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU})
	wall := slope("wall", "validating all documents", KindWall, "s",
		Target{What: "one validation, during which the node answers no probe (their timeout is 0.3 s)", Size: designLeafs, Unit: "s", Limit: probeTimeout.Seconds()})
	kept := slope("memory", "release in force", KindHeap, "bytes",
		Target{What: "release in force", Size: designLeafs, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory})
	total := slope("allocated-bytes", "allocated while validating", KindCount, "bytes",
		Target{What: "one validation", Size: designLeafs, Unit: "bytes"})
	peak := slope("peak-memory", "most heap while validating, garbage included, beyond the heap before", KindWall, "bytes",
		Target{What: "one validation, garbage included", Size: designLeafs, Unit: "bytes", Limit: designMemory, Budget: BudgetControlMemory})
	for _, n := range sizes {
		docs := documents(designNodes, n, n*bytesPerLeaf)
		if j := judgeDocuments(docs); !j.OK() {
			return nil, fmt.Errorf("the configuration of the measurement has findings: %s", j.Findings[0])
		}
		load := func() { judgeDocuments(docs) }
		cpuTaken, wallTaken := leastTimes(load)
		cpu.Values = append(cpu.Values, cpuTaken)
		wall.Values = append(wall.Values, wallTaken)
		kept.Values = append(kept.Values, retained(func() anvilrevision.Judgement { return judgeDocuments(docs) }))
		_, allocatedBytes := allocated(load)
		total.Values = append(total.Values, allocatedBytes)
		peak.Values = append(peak.Values, peakHeap(load))
	}
	return []Slope{cpu, wall, kept, total, peak}, nil
}

// peakHeap returns the largest heap during work, less the live heap before. The
// heap is read every millisecond.
func peakHeap(work func()) float64 {
	before := liveHeap()
	sample := []metrics.Sample{{
		Name: "/memory/classes/heap/objects:bytes",
	}}
	done := make(chan struct{})
	most := 0.0
	var tasks sync.WaitGroup
	tasks.Go(func() {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			metrics.Read(sample)
			most = max(most, float64(sample[0].Value.Uint64()))
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	work()
	close(done)
	tasks.Wait()
	return max(most-before, 0)
}
