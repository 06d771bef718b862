package anvilassign

import (
	"cmp"
	"slices"
	"strconv"

	"anvilbridge/anvilmodel"
)

// group is a sequence of leaves of one service in one failure domain that are
// assigned together.
type group struct {
	key    string
	domain anvilmodel.FailureDomain
	leaves []int
}

// groupLeaves divides the leaves of each service in each failure domain into
// groups of about equal size, in name order.
func groupLeaves(c Config) []group {
	type location struct {
		service anvilmodel.ServiceName
		domain  anvilmodel.FailureDomain
	}
	leavesAt := make(map[location][]int)
	var locations []location
	for i, l := range c.Leaves {
		at := location{
			service: l.Service,
			domain:  l.FailureDomain,
		}
		if leavesAt[at] == nil {
			locations = append(locations, at)
		}
		leavesAt[at] = append(leavesAt[at], i)
	}
	slices.SortFunc(locations, func(a, b location) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	var groups []group
	for _, at := range locations {
		leaves := leavesAt[at]
		count := (len(leaves) + c.GroupSize - 1) / c.GroupSize
		for n := range count {
			groups = append(groups, group{
				key:    string(at.service) + "\x00" + string(at.domain) + "\x00" + strconv.Itoa(n),
				domain: at.domain,
				leaves: leaves[n*len(leaves)/count : (n+1)*len(leaves)/count],
			})
		}
	}
	return groups
}
