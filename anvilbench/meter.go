package anvilbench

import (
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilquery"
)

// budgetMeter checks that an origin keeps to one of its budgets for one service.
// It counts tokens call by call, because a share over the whole run would not
// reveal a burst that exceeds the budget.
type budgetMeter struct {
	tokensPerCall float64
	burst         float64
	tokens        float64
	exceeded      int
}

// tokenTolerance allows for the rounding errors of repeated additions.
const tokenTolerance = 1e-6

func (m *budgetMeter) addTokens() {
	m.tokens = min(m.burst, m.tokens+m.tokensPerCall)
}

// takeToken takes a token, or counts the call as exceeding the budget if there is
// none.
func (m *budgetMeter) takeToken() {
	if m.tokens < 1-tokenTolerance {
		m.exceeded++
		return
	}
	m.tokens--
}

// budgetMeters holds the meters of one service at one origin.
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

// meterCall updates the budget meters for a call that the node sends.
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
