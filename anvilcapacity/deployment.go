package anvilcapacity

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"anvilbridge/anvilassign"
	"anvilbridge/anvilmodel"
)

// Shape of the services of the design size: 99 shards of 2 leafs, the leafs of a
// shard in different regions. 15 such services have 2,970 leafs; the last one of
// 3,000 leafs has 15 shards.
const (
	serviceShards      = 99
	serviceReplicas    = 2
	serviceSlots       = 3
	serviceConnections = 30
	// coldDuration is short, so that measurements with real leafs need not wait.
	coldDuration = 0 * time.Second
)

func domainName(i int) anvilmodel.FailureDomain {
	return anvilmodel.FailureDomain(fmt.Sprintf("fd-%d", i%designDomains+1))
}

// regionOf returns the region of the failure domain that domainName names.
func regionOf(i int) int {
	return i % designDomains / (designDomains / 2)
}

func slotName(i int) anvilmodel.SlotName {
	return anvilmodel.SlotName(fmt.Sprintf("entry-%03d", i))
}

func serviceName(i int) anvilmodel.ServiceName {
	return anvilmodel.ServiceName(fmt.Sprintf("service-%02d", i))
}

// deploymentLeafs returns leafs in whole services, the last one cut short.
func deploymentLeafs(count int) []anvilmodel.Leaf {
	leafs := make([]anvilmodel.Leaf, count)
	for i := range leafs {
		number := i % (serviceShards * serviceReplicas)
		shard, replica := number/serviceReplicas, number%serviceReplicas
		service := serviceName(i / (serviceShards * serviceReplicas))
		address := netip.AddrFrom4([4]byte{10, 30, byte(i / 250), byte(i%250 + 1)})
		leafs[i] = anvilmodel.Leaf{
			Name:    anvilmodel.LeafName(fmt.Sprintf("%s-%03d-%c", service, shard, 'a'+replica)),
			Service: service,
			Address: netip.AddrPortFrom(address, 7000),
			// Failure domains 1 and 2 are one region, 3 and 4 the other.
			FailureDomain: domainName(shard + 2*replica),
		}
	}
	return leafs
}

func deploymentSlots(count int) []anvilassign.Slot {
	slots := make([]anvilassign.Slot, count)
	for i := range slots {
		slots[i] = anvilassign.Slot{
			Name:          slotName(i),
			FailureDomain: domainName(i),
		}
	}
	return slots
}

// assignConfig returns the part of a configuration that decides the assignment.
func assignConfig(slots, leafs, groupSize int) anvilassign.Config {
	c := anvilassign.Config{
		Slots:     deploymentSlots(slots),
		Leafs:     deploymentLeafs(leafs),
		Limits:    make(map[anvilmodel.ServiceName]anvilassign.Limits),
		GroupSize: groupSize,
	}
	for _, l := range c.Leafs {
		c.Limits[l.Service] = anvilassign.Limits{
			Connections:     serviceConnections,
			ColdConcurrency: 2,
		}
	}
	return c
}

// baseFile returns a base file with slots and leafs. Comments bring it to the
// given size.
func baseFile(slots, leafs, size int) []byte {
	all := deploymentLeafs(leafs)
	bare := renderBase(slots, all, nil)
	padding := make([]int, len(all))
	for i := range padding {
		missing := max(size-len(bare), 0)
		padding[i] = missing*(i+1)/len(all) - missing*i/len(all)
	}
	return renderBase(slots, all, padding)
}

// renderBase writes a base file. Comment lines of the padded length together,
// line ends included, go before each leaf.
func renderBase(slots int, leafs []anvilmodel.Leaf, padding []int) []byte {
	var b strings.Builder
	b.WriteString("sites: [north, south]\nfailure-domains:\n")
	for i := range designDomains {
		fmt.Fprintf(&b, "  %s: {region: region-%d}\n", domainName(i), regionOf(i)+1)
	}
	b.WriteString("entry-slots:\n")
	for i := range slots {
		fmt.Fprintf(&b, "  %s: {failure-domain: %s}\n", slotName(i), domainName(i))
	}
	b.WriteString("services:\n")
	var service anvilmodel.ServiceName
	for i, l := range leafs {
		if l.Service != service {
			service = l.Service
			fmt.Fprintf(&b, "  %s:\n    slots: %d\n    connections: %d\n    cold-duration: %s\n    leafs:\n",
				service, serviceSlots, serviceConnections, coldDuration)
		}
		if padding != nil {
			writeComments(&b, string(l.Name), padding[i])
		}
		fmt.Fprintf(&b, "      %s: {address: \"%s\", failure-domain: %s}\n", l.Name, l.Address, l.FailureDomain)
	}
	b.WriteString("classes:\n  buyers: {mode: broad, timeout: 110ms}\n  crews: {mode: urgent, timeout: 60ms, coverage-floor: 0.8}\n")
	return []byte(b.String())
}

// commentLine is the length of a comment line with its end, as most lines of a
// configuration have. Longer ones would give larger chunks.
const commentLine = 60

// writeComments writes different comment lines of a total length, but for a
// rest below 2 bytes.
func writeComments(b *strings.Builder, text string, length int) {
	for k := 0; length > 1; k++ {
		n := min(length, commentLine)
		line := fmt.Sprintf("#%d %s %s", k, text, strings.Repeat(".", commentLine))
		b.WriteString(line[:n-1] + "\n")
		length -= n
	}
}
