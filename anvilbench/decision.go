package anvilbench

import (
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// Decision is a choice of the design and its alternatives, compared in one
// scenario.
type Decision struct {
	Name         string
	Scenario     string
	Alternatives []Variant
}

// Decisions returns the comparisons that the baselines do not make. The
// scenarios are those of Sfax, which has the larger leafs.
func Decisions() []Decision {
	return []Decision{
		{
			Name:         "deadline modes",
			Scenario:     "sfax/steady-0.8",
			Alternatives: []Variant{Policy(), modes("all broad", anvilmodel.ModeBroad)},
		},
		{
			Name:         "hedge budget",
			Scenario:     "sfax/slow-leafs-5%",
			Alternatives: []Variant{hedgeBudget("1%", 0.01), Policy(), hedgeBudget("20%", 0.2)},
		},
		{
			Name:         "hedge budget",
			Scenario:     "sfax/node-lost",
			Alternatives: []Variant{hedgeBudget("1%", 0.01), Policy(), hedgeBudget("20%", 0.2)},
		},
		{
			Name:         "limit rule",
			Scenario:     "sfax/steady-0.8",
			Alternatives: limitRules(),
		},
		{
			Name:         "limit rule",
			Scenario:     "sfax/shedding-1.3",
			Alternatives: limitRules(),
		},
		{
			Name:         "limit rule",
			Scenario:     "sfax/hedge-storm",
			Alternatives: limitRules(),
		},
		{
			Name:         "queue per slot",
			Scenario:     "sfax/hedge-storm",
			Alternatives: []Variant{queuePerSlot("1", 1), queuePerSlot("2", 2), Policy()},
		},
		{
			Name:         "cold shares",
			Scenario:     "sfax/domain-lost",
			Alternatives: []Variant{Policy(), coldShare("whole bound each", 2), coldShare("slots each", 3)},
		},
		{
			Name:         "failover",
			Scenario:     "sfax/node-crashed",
			Alternatives: failovers(),
		},
		{
			Name:         "failover",
			Scenario:     "sfax/node-lost",
			Alternatives: failovers(),
		},
		{
			Name:         "return reserve",
			Scenario:     "sfax/hedge-storm",
			Alternatives: []Variant{reserve("2ms, the former default", 2*time.Millisecond), Policy()},
		},
	}
}

func named(name string, v Variant) Variant {
	v.Name = name
	return v
}

func modes(name string, mode anvilmodel.Mode) Variant {
	v := named(name, Policy())
	v.AdjustClass = func(c *anvilmodel.Class) { c.Mode = mode }
	return v
}

func hedgeBudget(name string, budget float64) Variant {
	v := named(name, Policy())
	v.HedgeBudget = budget
	return v
}

// limitRules returns the policy, and two rules that do not adapt.
func limitRules() []Variant {
	slots := named("slots", Policy())
	slots.AdjustDispatcher = func(c *anvilleaf.Config) {
		c.Rule = func(s anvilleaf.LimitSample) float64 { return float64(s.Slots) }
	}
	twice := named("twice the slots", Policy())
	twice.AdjustDispatcher = func(c *anvilleaf.Config) {
		c.Rule = func(s anvilleaf.LimitSample) float64 { return 2 * float64(s.Slots) }
	}
	return []Variant{Policy(), slots, twice}
}

func queuePerSlot(name string, calls int) Variant {
	v := named(name, Policy())
	v.AdjustDispatcher = func(c *anvilleaf.Config) { c.QueuePerSlot = calls }
	return v
}

// coldShare gives every candidate the same cold share.
func coldShare(name string, share int) Variant {
	v := named(name, Policy())
	v.AdjustDispatcher = func(c *anvilleaf.Config) { c.Share.Cold = share }
	return v
}

func failovers() []Variant {
	none := named("no failover", Policy())
	none.Failover = FailoverNone
	timed := named("also after 50ms of silence", Policy())
	timed.Failover = FailoverOnTimeout
	return []Variant{Policy(), none, timed}
}

func reserve(name string, reserve time.Duration) Variant {
	v := named(name, Policy())
	v.AdjustClass = func(c *anvilmodel.Class) { c.ReturnReserve = reserve }
	return v
}
