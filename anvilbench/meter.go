package anvilbench

import (
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// meter checks one budget of an origin for one service, from the calls that it
// sends. A share of the calls of a whole run would not show a burst.
type meter struct {
	share  float64
	burst  float64
	tokens float64
	over   int
}

// meterTolerance absorbs the rounding of repeated additions of a share.
const meterTolerance = 1e-6

func (m *meter) earn() {
	m.tokens = min(m.burst, m.tokens+m.share)
}

// spend takes a token and counts a call for which there was none.
func (m *meter) spend() {
	if m.tokens < 1-meterTolerance {
		m.over++
		return
	}
	m.tokens--
}

// meters are the budgets of one service at one origin.
type meters struct {
	hedge meter
	retry meter
}

func newMeters() *meters {
	return &meters{
		hedge: meter{
			share: anvilquery.DefaultHedgeBudget,
			burst: anvilquery.DefaultHedgeBurst,
		},
		retry: meter{
			share:  anvilquery.DefaultRetryBudget,
			burst:  anvilquery.DefaultRetryBurst,
			tokens: anvilquery.DefaultRetryBurst,
		},
	}
}

// count notes a call of the node.
func (n *node) count(call *anvilmodel.Call) {
	m := n.meters[call.Service]
	if m == nil {
		m = newMeters()
		n.meters[call.Service] = m
	}
	switch {
	case call.Hedge:
		m.hedge.spend()
	case call.Retry:
		m.retry.spend()
	default:
		m.hedge.earn()
		m.retry.earn()
	}
}
