package anvilbench

import (
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// meter checks one budget of an origin for one service, from the calls that it
// sends. A share of the calls of a whole run would not show a burst.
type budgetMeter struct {
	tokensPerCall float64
	burst         float64
	tokens        float64
	exceeded      int
}

// meterTolerance absorbs the rounding of repeated additions of a share.
const tokenTolerance = 1e-6

func (m *budgetMeter) addTokens() {
	m.tokens = min(m.burst, m.tokens+m.tokensPerCall)
}

// spend takes a token and counts a call for which there was none.
func (m *budgetMeter) takeToken() {
	if m.tokens < 1-tokenTolerance {
		m.exceeded++
		return
	}
	m.tokens--
}

// meters are the budgets of one service at one origin.
type budgetMeters struct {
	hedge budgetMeter
	retry budgetMeter
}

func newBudgetMeters() *budgetMeters {
	return &budgetMeters{
		hedge: budgetMeter{
			tokensPerCall: anvilquery.DefaultHedgeBudget,
			burst:         anvilquery.DefaultHedgeBurst,
		},
		retry: budgetMeter{
			tokensPerCall: anvilquery.DefaultRetryBudget,
			burst:         anvilquery.DefaultRetryBurst,
			tokens:        anvilquery.DefaultRetryBurst,
		},
	}
}

// count notes a call of the node.
func (n *node) meterCall(call *anvilmodel.Call) {
	m := n.budgets[call.Service]
	if m == nil {
		m = newBudgetMeters()
		n.budgets[call.Service] = m
	}
	switch {
	case call.Hedge:
		m.hedge.takeToken()
	case call.Retry:
		m.retry.takeToken()
	default:
		m.hedge.addTokens()
		m.retry.addTokens()
	}
}
