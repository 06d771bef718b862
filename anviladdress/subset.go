package anviladdress

import (
	"cmp"
	"slices"

	"anvilbridge/anvilmodel"
)

// Subset returns the members, at most count, that callers are sent to. In a large
// fleet a node that gets few requests has no warm connection to most leafs and
// knows little of their latencies. The members are spread evenly over failure
// domains; within one those with the largest capacity go first, because a query to
// many shards takes processor time in proportion, and then the hash of the name
// decides, so that nodes with the same view agree. Suspects are taken only if there are too few others.
func Subset(members []anvilmodel.Member, count int) []anvilmodel.Member {
	alive := make(map[anvilmodel.FailureDomain][]anvilmodel.Member)
	var suspects []anvilmodel.Member
	for _, m := range members {
		switch {
		case !namable(&m, nil):
		case m.Status == anvilmodel.MemberSuspect:
			suspects = append(suspects, m)
		default:
			alive[m.FailureDomain] = append(alive[m.FailureDomain], m)
		}
	}
	domains := make([]anvilmodel.FailureDomain, 0, len(alive))
	for d, in := range alive {
		domains = append(domains, d)
		slices.SortFunc(in, byCapacity)
	}
	slices.Sort(domains)
	var chosen []anvilmodel.Member
	for round := 0; len(chosen) < count; round++ {
		found := false
		for _, d := range domains {
			if round < len(alive[d]) && len(chosen) < count {
				chosen = append(chosen, alive[d][round])
				found = true
			}
		}
		if !found {
			break
		}
	}
	slices.SortFunc(suspects, byHash)
	return append(chosen, suspects[:min(len(suspects), count-len(chosen))]...)
}

func byCapacity(a, b anvilmodel.Member) int {
	if a.Capacity != b.Capacity {
		return cmp.Compare(b.Capacity, a.Capacity)
	}
	return byHash(a, b)
}

func byHash(a, b anvilmodel.Member) int {
	return anvilmodel.CompareByHash(a.Name, b.Name)
}
