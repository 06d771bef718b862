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

func node(i, domains int) anvilmodel.Member {
	return anvilmodel.Member{
		Name:          anvilmodel.VMName(fmt.Sprintf("vm-%d", i)),
		FailureDomain: anvilmodel.FailureDomain(fmt.Sprintf("fd-%d", i%domains)),
		CallerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
		Incarnation:   anvilmodel.Incarnation(i + 1),
		Status:        anvilmodel.MemberAlive,
		Serving:       true,
	}
}

// Guards against answers that name a node which is dead, leaving, not serving, not
// announced or taken out, that name one twice, that put a suspect before others, or
// that leave out a usable node, this one too, while there is room.
func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		out := []anvilmodel.FailureDomain{"fd-2"}
		var members []anvilmodel.Member
		usable := 0
		for i := range rapid.IntRange(1, 12).Draw(t, "members") {
			e := node(i, 4)
			e.Status = anvilmodel.MemberStatus(rapid.IntRange(0, 4).Draw(t, "status"))
			e.Serving = rapid.IntRange(0, 3).Draw(t, "serving") > 0
			e.Load = rapid.Float64().Draw(t, "load")
			e.Incarnation = anvilmodel.Incarnation(rapid.IntRange(0, 3).Draw(t, "incarnation"))
			members = append(members, e)
			if allowed(e, out) {
				usable++
			}
		}
		answer := anviladdress.Choose(anviladdress.Input{
			Members:         members[rapid.IntRange(0, 1).Draw(t, "without self"):],
			Self:            members[0],
			CallerDomain:    "fd-1",
			ExcludedDomains: out,
			Random:          rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		})
		if len(answer.Addresses) != min(3, usable) || answer.Lifetime != 2*time.Second {
			t.Fatalf("%+v of %d usable", answer, usable)
		}
		suspect := false
		seen := make(map[anvilmodel.VMName]bool)
		for _, x := range answer.Addresses {
			e := members[slices.IndexFunc(members, func(e anvilmodel.Member) bool { return e.Name == x.Name })]
			if !allowed(e, out) || seen[x.Name] || suspect && e.Status == anvilmodel.MemberAlive {
				t.Fatalf("%+v named in %+v", e, answer)
			}
			suspect = e.Status == anvilmodel.MemberSuspect
			seen[x.Name] = true
		}
	})
}

func allowed(e anvilmodel.Member, out []anvilmodel.FailureDomain) bool {
	up := e.Status == anvilmodel.MemberAlive || e.Status == anvilmodel.MemberSuspect
	return up && e.Serving && e.Incarnation != 0 && !slices.Contains(out, e.FailureDomain)
}

// perNode is the number of callers that loads a node fully in the seeded fake.
const perNode = 50

// settle lets callers of one failure domain ask again every 2 s and move their load
// to the first address. The loads of other nodes are known as they were delay
// seconds before. It returns the largest and the domain's mean load over fleet
// load, averaged over 20 s after 40 s of settling.
func settle(n, delay int, load float64, caller anvilmodel.FailureDomain) (largest, crowded float64) {
	random := rand.New(rand.NewPCG(7, uint64(n)))
	var nodes []anvilmodel.Member
	for i := range n {
		nodes = append(nodes, node(i, min(n-1, 4)))
	}
	callers := make([]int, int(load*perNode*float64(n)))
	for i := range callers {
		callers[i] = random.IntN(n)
	}
	shares := anviladdress.NewLocalShares()
	var history [][]anvilmodel.Member
	for now := range 60 {
		counts := make([]int, n)
		for _, at := range callers {
			counts[at]++
		}
		own, members := 0.0, 0.0
		for i := range nodes {
			nodes[i].Load = float64(counts[i]) / perNode
			if nodes[i].FailureDomain == "fd-1" {
				own += nodes[i].Load
				members++
			}
		}
		if now >= 40 {
			largest += float64(slices.Max(counts)) / perNode / load / 20
			crowded += own / members / load / 20
		}
		history = append(history, slices.Clone(nodes))
		view := history[max(0, now-delay)]
		shares.Update(view, nil, time.Unix(int64(now), 0))
		for c := now % 2; c < len(callers); c += 2 {
			answer := anviladdress.Choose(anviladdress.Input{
				Members:      view,
				Self:         nodes[callers[c]],
				CallerDomain: caller,
				LocalShares:  shares,
				Count:        1,
				Random:       random,
			})
			callers[c] = int(answer.Addresses[0].Incarnation) - 1
		}
	}
	return largest, crowded
}

// Guards against herding: callers that all move to the node that seemed idle a
// while ago, or all crowd into their own failure domain.
func BenchmarkImbalance(b *testing.B) {
	for _, n := range []int{4, 410} {
		for _, delay := range []int{1, 5} {
			b.Run(fmt.Sprintf("nodes=%d/stale=%ds", n, delay), func(b *testing.B) {
				var spread, largest, crowded float64
				for b.Loop() {
					spread, _ = settle(n, delay, 0.5, "")
					largest, crowded = settle(n, delay, 0.5, "fd-1")
				}
				if spread > 1.8 || crowded > 1.7 {
					b.Errorf("imbalance %.2f, own domain at %.2f of the mean", spread, crowded)
				}
				b.ReportMetric(spread, "max/mean")
				b.ReportMetric(largest, "one-domain-max/mean")
				b.ReportMetric(crowded, "one-domain-own/mean")
			})
		}
	}
}

// The answer prefers the caller's failure domain and ends with a node of another.
func ExampleChoose() {
	members := []anvilmodel.Member{node(0, 2), node(1, 2), node(2, 2), node(3, 2)}
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
