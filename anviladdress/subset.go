package anviladdress

import (
	"cmp"
	"slices"

	"anvilbridge/anvilmodel"
)

// Subset returns the members, at most count, that callers are sent to. In a large fleet
// callers use a subset, because a node with few requests has no warm connection to most
// leaves and few measurements of their latencies. The subset is spread evenly over the
// failure domains. Within a domain the members with the largest capacity go first,
// because a query to many shards takes processor time in proportion; the hash of the name
// breaks ties, so that nodes with the same view choose the same subset. Suspects are
// taken only if there are too few others.
func Subset(members []anvilmodel.Member, count int) []anvilmodel.Member {
	alive := make(map[anvilmodel.FailureDomain][]anvilmodel.Member)
	var suspects []anvilmodel.Member
	for _, m := range members {
		switch {
		case !isEligible(&m, nil):
		case m.Status == anvilmodel.MemberSuspect:
			suspects = append(suspects, m)
		default:
			alive[m.FailureDomain] = append(alive[m.FailureDomain], m)
		}
	}
	domains := make([]anvilmodel.FailureDomain, 0, len(alive))
	for domain, candidates := range alive {
		domains = append(domains, domain)
		slices.SortFunc(candidates, byCapacity)
	}
	slices.Sort(domains)
	var chosen []anvilmodel.Member
	for round := 0; len(chosen) < count; round++ {
		found := false
		for _, domain := range domains {
			if round < len(alive[domain]) && len(chosen) < count {
				chosen = append(chosen, alive[domain][round])
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

// byCapacity orders members by descending capacity, then by the hash of their names.
func byCapacity(a, b anvilmodel.Member) int {
	if a.CPUCapacity != b.CPUCapacity {
		return cmp.Compare(b.CPUCapacity, a.CPUCapacity)
	}
	return byHash(a, b)
}

func byHash(a, b anvilmodel.Member) int {
	return anvilmodel.CompareByHash(a.Name, b.Name)
}
