package anvilcapacity

import (
	"fmt"
	"net/netip"
	"time"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// Shape of the services of the design size: each shard is a service of 2 leafs in
// different failure domains, and a query goes to 99 shards.
const (
	shardLeafs      = 2
	leafSlots       = 3
	leafConnections = 62
	// partBytes and topRecords are the body of a leaf's reply and the records that
	// the answer keeps.
	partBytes  = 1000
	topRecords = 50
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

func shardName(i int) anvilmodel.ServiceName {
	return anvilmodel.ServiceName(fmt.Sprintf("shard-%04d", i))
}

// shardNames returns the names of so many shards.
func shardNames(count int) []anvilmodel.ServiceName {
	names := make([]anvilmodel.ServiceName, count)
	for i := range names {
		names[i] = shardName(i)
	}
	return names
}

func leafAt(i int) anvilbalance.Leaf {
	return anvilbalance.Leaf{
		Name:          anvilmodel.LeafName(fmt.Sprintf("leaf-%04d", i)),
		Service:       shardName(i / shardLeafs),
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 30, byte(i / 250), byte(i%250 + 1)}), 8000),
		FailureDomain: domainName(i),
		Slots:         leafSlots,
	}
}

// configuration returns a configuration of so many shards, with a route for each
// 99 of them.
func configuration(shards int) anvilroute.Configuration {
	c := anvilroute.Configuration{
		Version: 1,
	}
	for i := range shards {
		name := shardName(i)
		c.Services = append(c.Services, anvilroute.Service{
			Name:           name,
			HealthPath:     "/health",
			MaxConnections: leafConnections,
		})
		if i%designLeafsPerQuery == 0 {
			c.Routes = append(c.Routes, queryRoute(i/designLeafsPerQuery))
		}
		last := &c.Routes[len(c.Routes)-1]
		last.Shards = append(last.Shards, name)
	}
	return c
}

func queryRoute(number int) anvilroute.Route {
	return anvilroute.Route{
		Name:          anvilroute.Name(fmt.Sprint("query-", number)),
		Host:          fmt.Sprintf("query-%d.example", number),
		Prefix:        "/",
		Timeout:       time.Second,
		TargetLatency: designTarget,
		MaxAttempts:   2,
		TopK:          topRecords,
		MinCoverage:   0.9,
	}
}

// designMembers returns members as a node knows them.
func designMembers(count int) []anvilmodel.Member {
	members := make([]anvilmodel.Member, count)
	for i, v := range listedVMs(count) {
		members[i] = anvilmodel.Member{
			Name:           v.Name,
			FailureDomain:  v.FailureDomain,
			CallerAddress:  v.CallerAddress,
			PeerAddress:    v.PeerAddress,
			Incarnation:    1_700_000_000_000 + anvilmodel.Incarnation(i),
			CPUCapacity:    100,
			Load:           0.3,
			ConfigRevision: 100_000,
			Status:         anvilmodel.MemberAlive,
			Serving:        true,
		}
	}
	return members
}
