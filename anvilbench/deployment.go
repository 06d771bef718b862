package anvilbench

import (
	"fmt"
	"time"

	"anvilbridge/anvilmodel"
)

// Deployment describes the size of one site, from section 1.4 of the design.
type Deployment struct {
	Name    string
	Domains []anvilmodel.FailureDomain
	// Nodes holds the failure domain of each entry slot.
	Nodes []anvilmodel.FailureDomain
	// InterDomainDelay is the one-way delay between failure domains,
	// IntraDomainDelay the one within a domain, CallerDelay the one between callers
	// and nodes.
	InterDomainDelay time.Duration
	IntraDomainDelay time.Duration
	CallerDelay      time.Duration
	Services         []Service
}

// Service describes the size of one service and the mix of queries for it.
type Service struct {
	Name anvilmodel.ServiceName
	// Shards is the number of shards of the first snapshot. Leaf i holds shard
	// i modulo Shards.
	Shards int
	Leaves int
	// Slots and Connections are the limits of each leaf.
	Slots       int
	Connections int
	ConnectTime time.Duration
	// ColdConcurrency is the number of concurrent calls that a cold leaf can handle.
	ColdConcurrency int
	// ServiceTimes is the distribution of the time that a leaf takes for one call.
	ServiceTimes ServiceTimes
	Streams      []Stream
}

// Stream is a class of queries and its share of the leaf calls to a service.
type Stream struct {
	// Label names the stream in results.
	Label string
	Class anvilmodel.Class
	Share float64
}

// ServiceTimes is a lognormal distribution of service times, in which a share of
// the calls are stragglers: they take StragglerFactor times as long.
type ServiceTimes struct {
	Median          time.Duration
	Sigma           float64
	StragglerShare  float64
	StragglerFactor float64
}

// The design states no service times. With a median of 8 ms, the 110 ms timeout
// of a broad query leaves time for two successive stragglers. With one straggler
// in a hundred calls, one in five queries over 20 shards has to wait for one.
const (
	shardedMedian     = 8 * time.Millisecond
	singleShardMedian = 15 * time.Millisecond
	serviceTimeSigma  = 0.4
	stragglerShare    = 0.01
	stragglerFactor   = 8
	intraDomainDelay  = 200 * time.Microsecond
	callerDelay       = time.Millisecond
)

// returnReserve covers the delay of 1 ms in each direction between caller and
// node, with its jitter. The configuration's default of 2 ms does not.
const returnReserve = 3 * time.Millisecond

// The three query classes, with the timeouts and the coverage floor of the design.
var (
	broadClass = anvilmodel.Class{
		Name:          "broad",
		Mode:          anvilmodel.ModeBroad,
		Priority:      20,
		Timeout:       110 * time.Millisecond,
		ReturnReserve: returnReserve,
	}
	urgentClass = anvilmodel.Class{
		Name:          "urgent",
		Mode:          anvilmodel.ModeUrgent,
		Priority:      30,
		Timeout:       60 * time.Millisecond,
		CoverageFloor: 0.8,
		ReturnReserve: returnReserve,
	}
	patientClass = anvilmodel.Class{
		Name:          "patient",
		Mode:          anvilmodel.ModePatient,
		Priority:      10,
		Timeout:       time.Second,
		ReturnReserve: returnReserve,
	}
)

// longestTimeout is the longest timeout of the classes. It is also the quiet
// period of the dispatchers.
const longestTimeout = time.Second

// shardedStreams returns the mix of queries for a service with many shards. The
// patient share exceeds the surplus of a load of 1.3, so that refusing patient
// queries alone is enough to end the overload.
func shardedStreams() []Stream {
	return []Stream{
		{
			Label: "broad",
			Class: broadClass,
			Share: 0.5,
		},
		{
			Label: "urgent",
			Class: urgentClass,
			Share: 0.2,
		},
		{
			Label: "patient",
			Class: patientClass,
			Share: 0.3,
		},
	}
}

// singleShardStreams returns the mix of queries for a service with one shard.
func singleShardStreams() []Stream {
	return []Stream{
		{
			Label: "desk",
			Class: patientClass,
			Share: 1,
		},
	}
}

func serviceTimes(median time.Duration) ServiceTimes {
	return ServiceTimes{
		Median:          median,
		Sigma:           serviceTimeSigma,
		StragglerShare:  stragglerShare,
		StragglerFactor: stragglerFactor,
	}
}

// Sfax returns the deployment with the services registry-portal and archive-desk.
func Sfax() Deployment {
	return Deployment{
		Name:             "sfax",
		Domains:          []anvilmodel.FailureDomain{"ville", "port", "sakiet"},
		Nodes:            []anvilmodel.FailureDomain{"ville", "port", "sakiet", "ville"},
		InterDomainDelay: time.Millisecond,
		IntraDomainDelay: intraDomainDelay,
		CallerDelay:      callerDelay,
		Services: []Service{
			{
				Name:            "registry-portal",
				Shards:          20,
				Leaves:          40,
				Slots:           3,
				Connections:     30,
				ConnectTime:     6 * time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    serviceTimes(shardedMedian),
				Streams:         shardedStreams(),
			},
			{
				Name:            "archive-desk",
				Shards:          1,
				Leaves:          13,
				Slots:           4,
				Connections:     100,
				ConnectTime:     time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    serviceTimes(singleShardMedian),
				Streams:         singleShardStreams(),
			},
		},
	}
}

// Scotland returns the deployment with the services grinding-planner and
// depot-desk.
func Scotland() Deployment {
	return Deployment{
		Name:             "scotland",
		Domains:          []anvilmodel.FailureDomain{"glasgow", "edinburgh", "perth"},
		Nodes:            []anvilmodel.FailureDomain{"glasgow", "edinburgh", "perth", "glasgow"},
		InterDomainDelay: 1500 * time.Microsecond,
		IntraDomainDelay: intraDomainDelay,
		CallerDelay:      callerDelay,
		Services: []Service{
			{
				Name:            "grinding-planner",
				Shards:          20,
				Leaves:          40,
				Slots:           2,
				Connections:     25,
				ConnectTime:     6 * time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    serviceTimes(shardedMedian),
				Streams:         shardedStreams(),
			},
			{
				Name:            "depot-desk",
				Shards:          1,
				Leaves:          20,
				Slots:           2,
				Connections:     35,
				ConnectTime:     time.Millisecond,
				ColdConcurrency: 1,
				ServiceTimes:    serviceTimes(singleShardMedian),
				Streams:         singleShardStreams(),
			},
		},
	}
}

// FanOut returns the part of a deployment of the design size that the queries of
// one origin reach: 99 shards of 2 leaves, with the dispatching nodes of 13 leaf
// groups in 4 failure domains. The calls of the other origins are the background
// load of the scenario.
func FanOut() Deployment {
	d := Deployment{
		Name:             "design",
		Domains:          []anvilmodel.FailureDomain{"a", "b", "c", "d"},
		InterDomainDelay: 1500 * time.Microsecond,
		IntraDomainDelay: intraDomainDelay,
		CallerDelay:      callerDelay,
		Services: []Service{
			{
				Name:            "index",
				Shards:          99,
				Leaves:          198,
				Slots:           3,
				Connections:     30,
				ConnectTime:     6 * time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    serviceTimes(shardedMedian),
				Streams:         shardedStreams(),
			},
		},
	}
	// At most one answer in a hundred may be late. Most queries are broad, so that
	// the run has enough of them to measure that share.
	for i, share := range []float64{0.8, 0.1, 0.1} {
		d.Services[0].Streams[i].Share = share
	}
	for i := range fanOutNodes {
		d.Nodes = append(d.Nodes, d.Domains[i%len(d.Domains)])
	}
	return d
}

// fanOutNodes is the number of nodes that one query of 99 shards reaches.
const fanOutNodes = 13

// leafConfigs returns the leaves of a service. The leaves of one shard are in
// different failure domains.
func (d *Deployment) leafConfigs(s *Service) []anvilmodel.Leaf {
	leaves := make([]anvilmodel.Leaf, 0, s.Leaves)
	for i := range s.Leaves {
		shard := i % s.Shards
		replica := i / s.Shards
		leaves = append(leaves, anvilmodel.Leaf{
			Name:          anvilmodel.LeafName(fmt.Sprintf("%s-%02d-%d", s.Name, shard, replica)),
			Service:       s.Name,
			FailureDomain: d.Domains[(shard+replica)%len(d.Domains)],
		})
	}
	return leaves
}
