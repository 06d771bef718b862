package anvilcapacity

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

const (
	// addressAsks is the address answers that a node gives in a second: 10 callers
	// for each node, an assumption, keep an answer for 2 s.
	addressAsks = 10 / 2.0
	// focusNodes is the number of nodes that an answer names, addressLifetime how
	// long it is kept.
	focusNodes      = 8
	addressLifetime = 2 * time.Second
)

// measureAddresses measures the answers to callers, and the looks at the fleet that
// a node takes for itself.
func measureAddresses(_ context.Context, seed uint64) ([]Slope, error) {
	sizes := []int{33, 100, designNodes}
	answers := Slope{
		Name:     "address-cpu",
		What:     "one address answer",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "members",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "5 answers a second", Size: designNodes, Factor: addressAsks, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}},
	}
	places := Slope{
		Name:     "place-cpu",
		What:     "finding a node's place among the followers of the store",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "members",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "before each question", Size: designNodes, Factor: 2 * asksPerSec, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}},
	}
	looks := Slope{
		Name:     "focus-cpu",
		What:     "choosing the nodes that callers are sent to",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "members",
		Sizes:    floats(sizes),
		Targets:  []Target{{What: "5 looks a second", Size: designNodes, Factor: looksPerSec, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}},
	}
	const rounds = 200
	random := rand.New(rand.NewPCG(seed, 0))
	for _, n := range sizes {
		members := designMembers(n)
		answers.Values = append(answers.Values, leastCPU(func() {
			for range rounds {
				anviladdress.Choose(anviladdress.Input{
					Members:      anviladdress.Focus(members, focusNodes),
					Self:         members[0],
					CallerDomain: domainName(1),
					Count:        focusNodes,
					Lifetime:     addressLifetime,
					Random:       random,
				})
			}
		})/rounds)
		places.Values = append(places.Values, leastCPU(func() {
			for range rounds {
				anvilmirror.PlaceOf(members, copyReaders, anvilmirror.FanOut)
			}
		})/rounds)
		looks.Values = append(looks.Values, leastCPU(func() {
			for range rounds {
				anviladdress.Focus(members, focusNodes)
			}
		})/rounds)
	}
	return []Slope{answers, places, looks}, nil
}

func servicesOf(c anvilroute.Configuration) map[anvilmodel.ServiceName]anvilroute.Service {
	return anvilroute.NewTable(c).Services()
}
