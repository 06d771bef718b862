package anvilcapacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilwire"
)

// measureStatus measures status, audit trail and metrics.
func measureStatus(context.Context, uint64) ([]Slope, error) {
	status, err := measureStatusBody()
	if err != nil {
		return nil, err
	}
	return append(status, measureAudit(1), measureAudit(256), measureMetrics()), nil
}

// measureStatusBody measures the answer to GET /v1/status.
func measureStatusBody() ([]Slope, error) {
	sizes := []int{4, 64, 256, designNodes}
	slope := func(name string, kind Kind, unit string) Slope {
		return Slope{
			Name:     "status-" + name,
			What:     "one status with 22 leafs and 50 audit events",
			Kind:     kind,
			Unit:     unit,
			SizeName: "members",
			Sizes:    floats(sizes),
			Targets: []Target{{
				What: "one status",
				Size: designNodes,
				Unit: unit,
			}},
		}
	}
	size, cpu := slope("bytes", KindCount, "bytes"), slope("cpu", KindCPU, "s")
	const times = 20
	for _, n := range sizes {
		s := anvilwire.NodeStatus{
			Name:    "entry-vm-000",
			Members: designMembers(n),
			Leafs:   make([]anvilwire.LeafStatus, 22),
			Events:  auditEvents(50, 1),
		}
		body, err := anvilwire.EncodeStatus(&s)
		if err != nil {
			return nil, err
		}
		size.Values = append(size.Values, float64(len(body)))
		cpu.Values = append(cpu.Values, leastCPU(func() {
			for range times {
				// It has just been encoded without an error.
				body, _ = anvilwire.EncodeStatus(&s)
			}
		})/times)
		runtime.KeepAlive(body)
	}
	return []Slope{size, cpu}, nil
}

func auditEvents(count, changes int) []anvilaudit.Event {
	events := make([]anvilaudit.Event, count)
	for i := range events {
		events[i] = anvilaudit.Event{
			Time:     time.Unix(1_700_000_000, 0),
			Kind:     anvilaudit.KindConfigAccepted,
			Subject:  fmt.Sprintf("subject-%03d", i),
			Cause:    fmt.Sprintf("version %d from peer entry-vm-%03d", i, i%designNodes),
			Revision: uint64(i),
		}
		for k := range changes {
			events[i].Changes = append(events[i].Changes, anvilaudit.Change{
				Path: fmt.Sprintf("services.service-%02d.leafs.service-%02d-%03d-a.address", i%15, i%15, k),
				Old:  fmt.Sprintf("10.30.%d.%d:7000", i%250, k),
				New:  fmt.Sprintf("10.30.%d.%d:7009", i%250, k),
			})
		}
	}
	return events
}

// measureAudit weighs the ring of recent events.
func measureAudit(changes int) Slope {
	sizes := []int{128, 256, 512}
	s := Slope{
		Name:     fmt.Sprintf("audit-memory-%d", changes),
		What:     fmt.Sprintf("audit events with %d changed fields each", changes),
		Kind:     KindHeap,
		Unit:     "bytes",
		SizeName: "events",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:  "full ring",
			Size:  anvilaudit.DefaultCapacity,
			Unit:  "bytes",
			Limit: designMemory,
		}},
	}
	if changes == 1 {
		s.Targets[0].Budget = BudgetControlMemory
	}
	for _, n := range sizes {
		s.Values = append(s.Values, retained(func() *anvilaudit.Ring {
			r := anvilaudit.New(anvilaudit.Config{})
			for _, e := range auditEvents(n, changes) {
				r.Add(e)
			}
			return r
		}))
	}
	return s
}

// measureMetrics measures the metrics that origin and dispatcher record for one
// leaf call.
func measureMetrics() Slope {
	sizes := []int{20_000, 40_000, 80_000}
	s := Slope{
		Name:     "metrics-cpu",
		What:     "counters and histogram of a relayed call, both nodes",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "calls",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "calls of a second",
			Size:   nodeCalls,
			Rate:   true,
			Unit:   "cores",
			Budget: BudgetDataCPU,
		}},
	}
	m := anvilmetric.New(anvilmetric.Config{})
	for _, n := range sizes {
		s.Values = append(s.Values, leastCPU(func() {
			for range n {
				m.Add(anvilmetric.RelayedCalls, 1, "sent")
				m.Add(anvilmetric.RelayedCalls, 1, "received")
				m.Add(anvilmetric.LeafCalls, 1, "service-00", "primary", "ok")
				m.Observe(anvilmetric.LeafCallDuration, time.Millisecond, "service-00")
			}
		}))
	}
	// What is left to report is of no use here.
	_ = m.Close()
	return s
}
