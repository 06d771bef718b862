package anvilcapacity

import (
	"runtime"

	"anvilbridge/anvilmodel"
)

// memberIndex is the view of the members that a node builds for its query path
// (anvilnode/control.go).
type memberIndex struct {
	bySlot        map[anvilmodel.SlotName]anvilmodel.Member
	byIncarnation map[anvilmodel.Incarnation]anvilmodel.Member
}

func newMemberIndex(all []anvilmodel.Member) *memberIndex {
	x := &memberIndex{
		bySlot:        make(map[anvilmodel.SlotName]anvilmodel.Member, len(all)),
		byIncarnation: make(map[anvilmodel.Incarnation]anvilmodel.Member, len(all)),
	}
	for _, m := range all {
		if held, ok := x.bySlot[m.Slot]; !ok || held.Incarnation < m.Incarnation {
			x.bySlot[m.Slot] = m
		}
		x.byIncarnation[m.Incarnation] = m
	}
	return x
}

// measureMemberIndex measures the two maps that a node builds of each changed
// list of members.
func measureMemberIndex(sizes []int, changes float64) Slope {
	const rebuilds = 500
	s := Slope{
		Name:     "membership-index",
		What:     "maps of the members by slot and incarnation, built again for each changed list",
		Kind:     KindCPU,
		Unit:     "s",
		SizeName: "members",
		Sizes:    floats(sizes),
		Targets: []Target{{
			What:   "maps, at the rate of membership-views",
			Size:   designNodes,
			Factor: changes,
			Unit:   "cores",
			Limit:  designCPU,
			Budget: BudgetControlCPU,
		}},
	}
	for _, n := range sizes {
		all := designMembers(n)
		var kept *memberIndex
		s.Values = append(s.Values, leastCPU(func() {
			for range rebuilds {
				kept = newMemberIndex(all)
			}
		})/rebuilds)
		runtime.KeepAlive(kept)
	}
	return s
}

// designMembers returns members as a node knows them.
func designMembers(count int) []anvilmodel.Member {
	members := make([]anvilmodel.Member, count)
	for i, v := range listedVMs(count) {
		members[i] = anvilmodel.Member{
			Name:          v.Name,
			Slot:          slotName(i),
			FailureDomain: v.FailureDomain,
			CallerAddress: v.CallerAddress,
			PeerAddress:   v.PeerAddress,
			Incarnation:   anvilmodel.Incarnation(1_700_000_000_000 + i),
			Status:        anvilmodel.MemberAlive,
			Serving:       true,
			Load:          0.4,
			Revision:      100_000,
			TicketEpoch:   2880,
		}
	}
	return members
}
