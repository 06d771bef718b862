package anvilcapacity

import (
	"time"

	"anvilbridge/anvilmodel"
)

const (
	// splitWindow is the part of a separation in which bytes are counted.
	splitWindow = 20 * time.Second
	// splitLimit bounds the waits for all nodes to agree.
	splitLimit = 3 * time.Minute
	// splitCheck is the time between two looks at all nodes.
	splitCheck = 250 * time.Millisecond
)

// measureSplit separates the regions of fleets, joins them again, and then loses
// a failure domain.
func measureSplit(seed uint64) []Slope {
	sizes := []int{16, 64, 128}
	members := sizeList{name: "members", list: sizes}
	slope := func(name, what string, kind Kind, unit string, limit float64) Slope {
		return members.slope("membership-"+name, what, kind, unit, Target{
			What:  name,
			Size:  designNodes,
			Unit:  unit,
			Limit: limit,
		})
	}
	bytes := slope("split-bytes", "encoded probes and replies that a node sends in the first 20 s after the regions lose each other", KindCount, "bytes/s", designBytes)
	lost := slope("split-lost", "time until no node counts one of the other region as alive", KindVirtualTime, "s", 0)
	healed := slope("split-healed", "time from the end of a separation until all nodes count all as alive", KindVirtualTime, "s", 0)
	domain := slope("domain-lost", "time until no node counts one of a lost failure domain as alive", KindVirtualTime, "s", 0)
	for i, f := range warmFleets(sizes, seed) {
		f.counts = memberCounts{}
		sent := 0
		f.after(splitWindow, func() { sent = f.counts.bytes })
		f.apart = true
		lost.Values = append(lost.Values, f.until(func() bool { return f.agree(false) }))
		f.runUntil(f.now+splitWindow, nil)
		bytes.Values = append(bytes.Values, float64(sent)/(splitWindow.Seconds()*float64(sizes[i])))
		f.apart = false
		healed.Values = append(healed.Values, f.until(func() bool { return f.agree(true) }))
		for k := 0; k < len(f.nodes); k += designDomains {
			f.nodes[k].down = true
		}
		domain.Values = append(domain.Values, f.until(f.domainLost))
	}
	return []Slope{bytes, lost, healed, domain}
}

// until runs until something holds, and returns how many seconds that took.
func (f *memberFleet) until(holds func() bool) float64 {
	began := f.now
	f.runUntil(began+splitLimit, f.everySo(holds))
	return (f.now - began).Seconds()
}

// everySo asks only now and then whether something holds.
func (f *memberFleet) everySo(holds func() bool) func() bool {
	checked := f.now
	return func() bool {
		if f.now-checked < splitCheck {
			return false
		}
		checked = f.now
		return holds()
	}
}

// agree reports whether every node counts all of the other region as alive, or
// none of them.
func (f *memberFleet) agree(alive bool) bool {
	for _, n := range f.nodes {
		for i, m := range f.nodes {
			if m.region == n.region {
				continue
			}
			e, _ := n.core.BySlot(slotName(i))
			if (e.Status == anvilmodel.MemberAlive) != alive {
				return false
			}
		}
	}
	return true
}

// domainLost reports whether no node counts one that is down as alive.
func (f *memberFleet) domainLost() bool {
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		for i, m := range f.nodes {
			e, _ := n.core.BySlot(slotName(i))
			if m.down && e.Status == anvilmodel.MemberAlive {
				return false
			}
		}
	}
	return true
}
