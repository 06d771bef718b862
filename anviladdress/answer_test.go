package anviladdress_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmodel"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// newMember returns an alive, serving member of one of the failure domains.
func newMember(i, domains int) anvilmodel.Member {
	return anvilmodel.Member{
		Name:          anvilmodel.VMName(fmt.Sprintf("vm-%d", i)),
		FailureDomain: anvilmodel.FailureDomain(fmt.Sprintf("fd-%d", i%domains)),
		CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
		Incarnation:   anvilmodel.Incarnation(i + 1),
		Status:        anvilmodel.MemberAlive,
		Serving:       true,
	}
}

// Guards against answers that contain a node twice or one that is dead, leaving, not
// serving, not announced or in an excluded failure domain, that list a suspect before
// others, or that omit an eligible node, including this one, while there is room.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		excluded := []anvilmodel.FailureDomain{"fd-2"}
		var members []anvilmodel.Member
		eligible := 0
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			m := newMember(i, 4)
			m.Status = anvilmodel.MemberStatus(rapid.IntRange(0, 4).Draw(t, "status"))
			m.Serving = rapid.IntRange(0, 3).Draw(t, "serving") > 0
			m.Load = rapid.Float64().Draw(t, "load")
			m.Incarnation = anvilmodel.Incarnation(rapid.IntRange(0, 3).Draw(t, "incarnation"))
			members = append(members, m)
			if isEligible(m, excluded) {
				eligible++
			}
		}
		answer := anviladdress.Choose(anviladdress.Input{
			Members:         members[rapid.IntRange(0, 1).Draw(t, "without self"):],
			Self:            members[0],
			CallerDomain:    "fd-1",
			ExcludedDomains: excluded,
			Random:          rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		})
		if len(answer.Addresses) != min(3, eligible) || answer.Lifetime != 2*time.Second {
			t.Fatalf("%+v from %d eligible members", answer, eligible)
		}
		afterSuspect := false
		seen := make(map[anvilmodel.VMName]bool)
		for _, address := range answer.Addresses {
			m := members[slices.IndexFunc(members, func(m anvilmodel.Member) bool { return m.Name == address.Name })]
			if !isEligible(m, excluded) || seen[address.Name] || afterSuspect && m.Status == anvilmodel.MemberAlive {
				t.Fatalf("%+v must not be listed here in %+v", m, answer)
			}
			afterSuspect = m.Status == anvilmodel.MemberSuspect
			seen[address.Name] = true
		}
	})
}

// isEligible states the rules independently of the package.
func isEligible(m anvilmodel.Member, excluded []anvilmodel.FailureDomain) bool {
	up := m.Status == anvilmodel.MemberAlive || m.Status == anvilmodel.MemberSuspect
	return up && m.Serving && m.Incarnation != 0 && !slices.Contains(excluded, m.FailureDomain)
}

// callersPerNode is the number of simulated callers that loads a node fully.
const callersPerNode = 50

// simulateCallers simulates callers of one failure domain that request addresses every 2 s
// and move their load to the first one. Nodes use the loads of delay seconds before. It
// returns the largest load of a node and the mean load of the domain fd-1, both divided by
// the load of the fleet and averaged over 20 s after a warm-up of 40 s.
func simulateCallers(size, delay int, load float64, callerDomain anvilmodel.FailureDomain) (largest, local float64) {
	random := rand.New(rand.NewPCG(7, uint64(size)))
	var nodes []anvilmodel.Member
	for i := range size {
		nodes = append(nodes, newMember(i, min(size-1, 4)))
	}
	callers := make([]int, int(load*callersPerNode*float64(size)))
	for i := range callers {
		callers[i] = random.IntN(size)
	}
	shares := anviladdress.NewLocalShares()
	var history [][]anvilmodel.Member
	for now := range 60 {
		counts := make([]int, size)
		for _, node := range callers {
			counts[node]++
		}
		localLoad, localNodes := 0.0, 0.0
		for i := range nodes {
			nodes[i].Load = float64(counts[i]) / callersPerNode
			if nodes[i].FailureDomain == "fd-1" {
				localLoad += nodes[i].Load
				localNodes++
			}
		}
		if now >= 40 {
			largest += float64(slices.Max(counts)) / callersPerNode / load / 20
			local += localLoad / localNodes / load / 20
		}
		history = append(history, slices.Clone(nodes))
		view := history[max(0, now-delay)]
		shares.Update(view, nil, time.Unix(int64(now), 0))
		for caller := now % 2; caller < len(callers); caller += 2 {
			answer := anviladdress.Choose(anviladdress.Input{
				Members:      view,
				Self:         nodes[callers[caller]],
				CallerDomain: callerDomain,
				LocalShares:  shares,
				Count:        1,
				Random:       random,
			})
			callers[caller] = int(answer.Addresses[0].Incarnation) - 1
		}
	}
	return largest, local
}

// Guards against herding: callers that all move to the node that was idle in stale loads,
// or that overload their own failure domain.
func BenchmarkImbalance(b *testing.B) {
	for _, size := range []int{4, 410} {
		for _, delay := range []int{1, 5} {
			b.Run(fmt.Sprintf("nodes=%d/stale=%ds", size, delay), func(b *testing.B) {
				var uniform, largest, local float64
				for b.Loop() {
					uniform, _ = simulateCallers(size, delay, 0.5, "")
					largest, local = simulateCallers(size, delay, 0.5, "fd-1")
				}
				if uniform > 1.8 || local > 1.7 {
					b.Errorf("load relative to the mean: %.2f on one node, want at most 1.8; %.2f in the callers' domain, want at most 1.7", uniform, local)
				}
				b.ReportMetric(uniform, "max/mean")
				b.ReportMetric(largest, "one-domain-max/mean")
				b.ReportMetric(local, "one-domain-own/mean")
			})
		}
	}
}

// The answer prefers the caller's failure domain and ends with a node of another.
func ExampleChoose() {
	members := []anvilmodel.Member{newMember(0, 2), newMember(1, 2), newMember(2, 2), newMember(3, 2)}
	answer := anviladdress.Choose(anviladdress.Input{
		Members:      members,
		Self:         members[0],
		CallerDomain: "fd-1",
		Random:       rand.New(rand.NewPCG(1, 1)),
	})
	for _, a := range answer.Addresses {
		fmt.Println(a.FailureDomain, a.CallerAddress.Port())
	}
	// Output:
	// fd-1 8080
	// fd-1 8080
	// fd-0 8080
}
