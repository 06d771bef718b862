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
	members := make(map[location][]int)
	var locations []location
	for i, l := range c.Leaves {
		p := location{
			service: l.Service,
			domain:  l.FailureDomain,
		}
		if members[p] == nil {
			locations = append(locations, p)
		}
		members[p] = append(members[p], i)
	}
	slices.SortFunc(locations, func(a, b location) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	var out []group
	for _, p := range locations {
		leaves := members[p]
		count := (len(leaves) + c.GroupSize - 1) / c.GroupSize
		for k := range count {
			out = append(out, group{
				key:    string(p.service) + "\x00" + string(p.domain) + "\x00" + strconv.Itoa(k),
				domain: p.domain,
				leaves: leaves[k*len(leaves)/count : (k+1)*len(leaves)/count],
			})
		}
	}
	return out
}
