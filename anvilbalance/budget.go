package anvilbalance

import "time"

// budgetSlots is the number of parts that the budget window is counted in.
const budgetSlots = 10

// budget counts the requests to a service and the extra calls beyond the first
// of each request, in a sliding window.
type budget struct {
	slot     int64
	requests [budgetSlots]float64
	extras   [budgetSlots]float64
}

// advance forgets the slots that have left the window.
func (b *budget) advance(now time.Time, window time.Duration) int {
	slot := now.UnixNano() / int64(window/budgetSlots)
	if slot-b.slot > budgetSlots {
		b.slot = slot - budgetSlots
	}
	for b.slot < slot {
		b.slot++
		i := int(b.slot % budgetSlots)
		b.requests[i] = 0
		b.extras[i] = 0
	}
	return int(b.slot % budgetSlots)
}

func (b *budget) sums() (requests, extras float64) {
	for i := range budgetSlots {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	return requests, extras
}
