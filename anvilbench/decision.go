package anvilbench

import (
	"time"

	"anvilbridge/anvilleaf"
	"anvilbridge/anvilmodel"
)

// Decision is a design decision whose alternatives are compared in one scenario.
type Decision struct {
	Name         string
	Scenario     string
	Alternatives []Variant
}

// Decisions returns the comparisons that the baselines do not cover. They use the
// scenarios of Sfax, whose leaves have more slots.
func Decisions() []Decision {
	return []Decision{
		{
			Name:         "deadline modes",
			Scenario:     "sfax/steady-0.8",
			Alternatives: []Variant{Policy(), modeVariant("all broad", anvilmodel.ModeBroad)},
		},
		{
			Name:         "hedge budget",
			Scenario:     "sfax/slow-leafs-5%",
			Alternatives: []Variant{hedgeBudgetVariant("1%", 0.01), Policy(), hedgeBudgetVariant("20%", 0.2)},
		},
		{
			Name:         "hedge budget",
			Scenario:     "sfax/node-lost",
			Alternatives: []Variant{hedgeBudgetVariant("1%", 0.01), Policy(), hedgeBudgetVariant("20%", 0.2)},
		},
		{
			Name:         "limit rule",
			Scenario:     "sfax/steady-0.8",
			Alternatives: limitRuleVariants(),
		},
		{
			Name:         "limit rule",
			Scenario:     "sfax/shedding-1.3",
			Alternatives: limitRuleVariants(),
		},
		{
			Name:         "limit rule",
			Scenario:     "sfax/hedge-storm",
			Alternatives: limitRuleVariants(),
		},
		{
			Name:         "queue per slot",
			Scenario:     "sfax/hedge-storm",
			Alternatives: []Variant{queuePerSlotVariant("1", 1), queuePerSlotVariant("2", 2), Policy()},
		},
		{
			Name:         "cold shares",
			Scenario:     "sfax/domain-lost",
			Alternatives: []Variant{Policy(), coldShareVariant("whole bound each", 2), coldShareVariant("slots each", 3)},
		},
		{
			Name:         "failover",
			Scenario:     "sfax/node-crashed",
			Alternatives: failoverVariants(),
		},
		{
			Name:         "failover",
			Scenario:     "sfax/node-lost",
			Alternatives: failoverVariants(),
		},
		{
			Name:         "return reserve",
			Scenario:     "sfax/hedge-storm",
			Alternatives: []Variant{returnReserveVariant("2ms, the former default", 2*time.Millisecond), Policy()},
		},
	}
}

func withName(name string, v Variant) Variant {
	v.Name = name
	return v
}

func modeVariant(name string, mode anvilmodel.Mode) Variant {
	v := withName(name, Policy())
	v.AdjustClass = func(c *anvilmodel.Class) { c.Mode = mode }
	return v
}

func hedgeBudgetVariant(name string, budget float64) Variant {
	v := withName(name, Policy())
	v.HedgeBudget = budget
	return v
}

// limitRuleVariants returns the policy and two variants with fixed concurrency
// limits.
func limitRuleVariants() []Variant {
	slots := withName("slots", Policy())
	slots.AdjustDispatcher = func(c *anvilleaf.Config) {
		c.LimitRule = func(s anvilleaf.LimitSample) float64 { return float64(s.Slots) }
	}
	doubleSlots := withName("twice the slots", Policy())
	doubleSlots.AdjustDispatcher = func(c *anvilleaf.Config) {
		c.LimitRule = func(s anvilleaf.LimitSample) float64 { return 2 * float64(s.Slots) }
	}
	return []Variant{Policy(), slots, doubleSlots}
}

func queuePerSlotVariant(name string, calls int) Variant {
	v := withName(name, Policy())
	v.AdjustDispatcher = func(c *anvilleaf.Config) { c.QueuePerSlot = calls }
	return v
}

// coldShareVariant returns the policy with the same cold share for every candidate.
func coldShareVariant(name string, share int) Variant {
	v := withName(name, Policy())
	v.AdjustDispatcher = func(c *anvilleaf.Config) { c.Share.ColdConcurrency = share }
	return v
}

func failoverVariants() []Variant {
	none := withName("no failover", Policy())
	none.Failover = FailoverNone
	onTimeout := withName("also after 50ms of silence", Policy())
	onTimeout.Failover = FailoverOnTimeout
	return []Variant{Policy(), none, onTimeout}
}

func returnReserveVariant(name string, reserve time.Duration) Variant {
	v := withName(name, Policy())
	v.AdjustClass = func(c *anvilmodel.Class) { c.ReturnReserve = reserve }
	return v
}
