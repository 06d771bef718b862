package anvilcapacity

import (
	"context"
	"runtime"
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// warmDispatcher is a dispatcher of a warm leaf that answers after 1 ms.
type warmDispatcher struct {
	dispatcher *anvilleaf.Dispatcher
	now        time.Time
	call       anvilmodel.Call
	outcome    anvilleaf.Outcome
	actions    []anvilleaf.Action
}

func newWarmDispatcher() *warmDispatcher {
	d := &warmDispatcher{
		now: time.Unix(1_700_000_000, 0),
	}
	d.dispatcher = anvilleaf.New(anvilleaf.Config{
		Leaf:  "service-00-000-a",
		Slots: serviceSlots,
		Share: anvilleaf.Share{
			Connections: serviceConnections / 3,
			Cold:        1,
		},
	}, d.now)
	d.actions = d.dispatcher.AdoptJudgement(anvilmodel.LeafState{
		Incarnation: 1,
	}, d.now, nil)
	d.call = anvilmodel.Call{
		Leaf:    "service-00-000-a",
		Timeout: 100 * time.Millisecond,
	}
	d.call.ID.Request = "0123456789abcdef"
	d.outcome.Written = true
	d.outcome.Reply.Result = anvilmodel.CallOK
	d.outcome.Reply.Incarnation = 1
	return d
}

// one takes a call from its submission to its reply.
func (d *warmDispatcher) one() {
	d.call.ID.Attempt++
	d.outcome.Reply.ID = d.call.ID
	d.actions = d.dispatcher.Submit(d.call, d.now, d.actions[:0])
	for _, a := range d.actions {
		if a.Kind == anvilleaf.ActionOpen {
			d.actions = d.dispatcher.Opened(a.Connection, 1, d.now, d.actions)
		}
	}
	d.now = d.now.Add(time.Millisecond)
	for _, a := range d.actions {
		if a.Kind == anvilleaf.ActionStart {
			d.outcome.Connection = a.Connection
		}
	}
	d.actions = d.dispatcher.Done(d.outcome, d.now, d.actions[:0])
}

// measureDispatcher measures the dispatcher of one leaf.
func measureDispatcher(context.Context, uint64) ([]Slope, error) {
	calls := []int{10_000, 20_000, 40_000}
	cpu := Slope{
		Name:     "dispatcher-cpu",
		What:     "dispatcher core from submission to reply",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "calls",
		Sizes:    floats(calls),
		Targets: []Target{{
			What:   "dispatcher cores of a node, calls of a second",
			Size:   nodeCalls,
			Rate:   true,
			Unit:   "cores",
			Budget: BudgetDataCPU,
		}, {
			What: "dispatcher of one leaf, calls of a second",
			Size: leafCalls,
			Rate: true,
			Unit: "cores",
		}},
	}
	count := Slope{
		Name:     "dispatcher-allocations",
		What:     "allocations of the dispatcher core",
		Kind:     KindCount,
		Unit:     "allocations",
		SizeName: "calls",
		Sizes:    floats(calls),
		Targets: []Target{{
			What: "calls of a second",
			Size: nodeCalls,
			Rate: true,
			Unit: "allocations/s",
		}},
	}
	for _, n := range calls {
		d := newWarmDispatcher()
		run := func() {
			for range n {
				d.one()
			}
		}
		run()
		cpu.Values = append(cpu.Values, leastCPU(run))
		allocations, _ := allocated(run)
		count.Values = append(count.Values, allocations)
	}
	return []Slope{cpu, count, measureDispatcherMemory()}, nil
}

func measureDispatcherMemory() Slope {
	sizes := []int{200, 500, 1000, 2000}
	s := Slope{
		Name:     "dispatcher-memory",
		What:     "dispatcher cores that have served 100 calls, without goroutines and connections",
		Kind:     KindHeap,
		Unit:     "bytes",
		SizeName: "dispatchers",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "dispatchers of a node, as any of three candidates",
			Size:   nodeDispatchers,
			Unit:   "bytes",
			Limit:  designMemory,
			Budget: BudgetControlMemory,
		}},
	}
	for _, n := range sizes {
		s.Values = append(s.Values, retained(func() []*anvilleaf.Dispatcher {
			all := make([]*anvilleaf.Dispatcher, 0, n)
			for range n {
				d := newWarmDispatcher()
				for range 100 {
					d.one()
				}
				all = append(all, d.dispatcher)
			}
			return all
		}))
	}
	runtime.GC()
	return s
}
