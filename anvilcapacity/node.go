package anvilcapacity

import (
	"context"
	"time"

	"anvilbridge/anvilstandin"
)

const (
	// idleSettle is the time that a fleet gets after its start, idleWindow the
	// time that is measured.
	idleSettle = 500 * time.Millisecond
	idleWindow = 1500 * time.Millisecond
	// idleLargest is the largest fleet of whole nodes.
	idleLargest = 25
	// leafsPerNode is that of the design size, about.
	leafsPerNode = 7
)

// measureNode measures whole nodes without queries. From 13 members on the
// number of leaf state exchanges a second is that of the design size.
func measureNode(ctx context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{13, 19, idleLargest}
	cpu := Slope{
		Name:     "node-idle-cpu",
		What:     "a whole node without queries, 7 leafs for each node, the stand-ins included; peer connections are kept, which 410 nodes cannot",
		Kind:     KindCPU,
		Unit:     "cores",
		SizeName: "nodes",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:  "check of the parts, for 25 nodes only: the line says nothing about 410",
			Size:  idleLargest,
			Unit:  "cores",
			Limit: designCPU,
		}},
	}
	memory := Slope{
		Name:     "node-idle-memory",
		What:     "heap and stacks of a whole node without queries, the stand-ins included",
		Kind:     KindHeap,
		Unit:     "bytes",
		SizeName: "nodes",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:  "check of the parts, for 25 nodes only: the line says nothing about 410",
			Size:  idleLargest,
			Unit:  "bytes",
			Limit: designMemory,
		}},
	}
	for _, n := range sizes {
		before := liveHeap() + stacks()
		f, err := startNodeFleet(ctx, n, []anvilstandin.ServiceConfig{{
			Name:     serviceName(0),
			Shards:   leafsPerNode * n / serviceReplicas,
			Replicas: serviceReplicas,
			Slots:    serviceSlots,
		}}, 0, seed)
		if err != nil {
			return nil, err
		}
		err = sleep(ctx, idleSettle)
		cpu.Values = append(cpu.Values, cpuOf(func() {
			if err == nil {
				err = sleep(ctx, idleWindow)
			}
		})/(float64(n)*idleWindow.Seconds()))
		memory.Values = append(memory.Values, (liveHeap()+stacks()-before)/float64(n))
		f.stop()
		if err != nil {
			return nil, err
		}
	}
	return []Slope{cpu, memory}, nil
}
