package anvilassign

import (
	"cmp"
	"slices"
	"strconv"

	"anvilbridge/anvilmodel"
)

// group is a run of leafs of one service in one failure domain.
type group struct {
	key    string
	domain anvilmodel.FailureDomain
	leafs  []int
}

// groups divides the leafs of each service in each failure domain into runs of
// about equal length, in name order.
func groups(c Config) []group {
	type place struct {
		service anvilmodel.ServiceName
		domain  anvilmodel.FailureDomain
	}
	members := make(map[place][]int)
	var places []place
	for i, l := range c.Leaves {
		p := place{
			service: l.Service,
			domain:  l.FailureDomain,
		}
		if members[p] == nil {
			places = append(places, p)
		}
		members[p] = append(members[p], i)
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.domain, b.domain))
	})
	var out []group
	for _, p := range places {
		leafs := members[p]
		count := (len(leafs) + c.GroupSize - 1) / c.GroupSize
		for k := range count {
			out = append(out, group{
				key:    string(p.service) + "\x00" + string(p.domain) + "\x00" + strconv.Itoa(k),
				domain: p.domain,
				leafs:  leafs[k*len(leafs)/count : (k+1)*len(leafs)/count],
			})
		}
	}
	return out
}
