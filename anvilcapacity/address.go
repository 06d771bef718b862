package anvilcapacity

import (
	"context"
	"math/rand/v2"
	"time"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmirror"
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
	fleets := sizeList{name: "members", list: []int{33, 100, designNodes}}
	control := func(what string, factor float64) Target {
		return Target{What: what, Size: designNodes, Factor: factor, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU}
	}
	answers := fleets.slope("address-cpu", "one address answer", KindCPU, "s",
		control("5 answers a second", addressAsks))
	places := fleets.slope("place-cpu", "finding a node's place among the followers of the store", KindCPU, "s",
		control("before each question", 2*asksPerSec))
	looks := fleets.slope("focus-cpu", "choosing the nodes that callers are sent to", KindCPU, "s",
		control("5 looks a second", looksPerSec))
	const rounds = 200
	random := rand.New(rand.NewPCG(seed, 0))
	for _, n := range fleets.list {
		members := designMembers(n)
		answers.Values = append(answers.Values, leastCPU(func() {
			for range rounds {
				anviladdress.Choose(anviladdress.Input{
					Members:      anviladdress.Subset(members, focusNodes),
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
				anvilmirror.TreePositionOf(members, nil, copyReaders, anvilmirror.FanOut)
			}
		})/rounds)
		looks.Values = append(looks.Values, leastCPU(func() {
			for range rounds {
				anviladdress.Subset(members, focusNodes)
			}
		})/rounds)
	}
	return []Slope{answers, places, looks}, nil
}
