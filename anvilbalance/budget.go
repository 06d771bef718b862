package anvilbalance

import "time"

// budgetSlots is the number of time slots that the budget window is divided into.
const budgetSlots = 10

// budget counts the requests to a service, and the extra calls beyond the first
// call of each request, in a sliding window.
type budget struct {
	currentSlot int64
	requests    [budgetSlots]float64
	extraCalls  [budgetSlots]float64
}

// advance clears the slots that have left the window and returns the index of the
// current slot.
func (b *budget) advance(now time.Time, window time.Duration) int {
	slot := now.UnixNano() / int64(window/budgetSlots)
	if slot-b.currentSlot > budgetSlots {
		b.currentSlot = slot - budgetSlots
	}
	for b.currentSlot < slot {
		b.currentSlot++
		i := int(b.currentSlot % budgetSlots)
		b.requests[i] = 0
		b.extraCalls[i] = 0
	}
	return int(b.currentSlot % budgetSlots)
}

func (b *budget) totals() (requests, extraCalls float64) {
	for i := range budgetSlots {
		requests += b.requests[i]
		extraCalls += b.extraCalls[i]
	}
	return requests, extraCalls
}
