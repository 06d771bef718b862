package anvilbench

import (
	"fmt"
	"time"

	"anvilbridge/anvilmodel"
)

// Deployment is the shape of one site, from section 1.4 of the design.
type Deployment struct {
	Name    string
	Domains []anvilmodel.FailureDomain
	// Nodes holds the failure domain of each entry slot.
	Nodes []anvilmodel.FailureDomain
	// InterDomainDelay is the one-way delay between failure domains, IntraDomainDelay that
	// within one, CallerDelay that between callers and nodes.
	InterDomainDelay time.Duration
	IntraDomainDelay time.Duration
	CallerDelay      time.Duration
	Services         []Service
}

// Service is the shape of one service and of the load on it.
type Service struct {
	Name anvilmodel.ServiceName
	// Shards is the number of shards of the first snapshot. Leaf i holds shard
	// i modulo Shards.
	Shards int
	Leafs  int
	// Slots and Connections are those of each leaf.
	Slots       int
	Connections int
	ConnectTime time.Duration
	// ColdConcurrency is what a leaf in cold start can handle.
	ColdConcurrency int
	// ServiceTimes is the distribution of service times.
	ServiceTimes ServiceTimes
	Streams      []Stream
}

// Stream is a class of queries and its share of the leaf calls of a service.
type Stream struct {
	// Label names the stream in results.
	Label string
	Class anvilmodel.Class
	Share float64
}

// ServiceTimes is a lognormal distribution of service times with a share of stragglers.
type ServiceTimes struct {
	Median          time.Duration
	Sigma           float64
	StragglerShare  float64
	StragglerFactor float64
}

// The work of the leafs is not stated in the design. Replies of 8 ms leave the
// 110 ms of a broad query room for two rounds of stragglers; one straggler in a
// hundred calls makes one query in five of 20 shards wait for one.
const (
	shardMedian     = 8 * time.Millisecond
	deskMedian      = 15 * time.Millisecond
	workSigma       = 0.4
	stragglerShare  = 0.01
	stragglerFactor = 8
	localDelay      = 200 * time.Microsecond
	callerDelay     = time.Millisecond
)

// returnReserve covers the way of 1 ms each from and to the caller with their
// jitter. The default of the configuration, 2 ms, does not.
const returnReserve = 3 * time.Millisecond

// The three classes, with the timeouts and the floor of the design.
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

// longestTimeout is the quiet period of the dispatchers.
const longestTimeout = time.Second

// shardedStreams is the mix on a service of many shards. The patient share is
// larger than the excess at 1.3 of capacity, so that refusing it is enough.
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

// deskStreams is the mix on a service of one shard.
func deskStreams() []Stream {
	return []Stream{
		{
			Label: "desk",
			Class: patientClass,
			Share: 1,
		},
	}
}

func work(median time.Duration) ServiceTimes {
	return ServiceTimes{
		Median:          median,
		Sigma:           workSigma,
		StragglerShare:  stragglerShare,
		StragglerFactor: stragglerFactor,
	}
}

// Sfax returns the registry portal and the archive desk.
func Sfax() Deployment {
	return Deployment{
		Name:             "sfax",
		Domains:          []anvilmodel.FailureDomain{"ville", "port", "sakiet"},
		Nodes:            []anvilmodel.FailureDomain{"ville", "port", "sakiet", "ville"},
		InterDomainDelay: time.Millisecond,
		IntraDomainDelay: localDelay,
		CallerDelay:      callerDelay,
		Services: []Service{
			{
				Name:            "registry-portal",
				Shards:          20,
				Leafs:           40,
				Slots:           3,
				Connections:     30,
				ConnectTime:     6 * time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    work(shardMedian),
				Streams:         shardedStreams(),
			},
			{
				Name:            "archive-desk",
				Shards:          1,
				Leafs:           13,
				Slots:           4,
				Connections:     100,
				ConnectTime:     time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    work(deskMedian),
				Streams:         deskStreams(),
			},
		},
	}
}

// Scotland returns the grinding planner and the depot desk.
func Scotland() Deployment {
	return Deployment{
		Name:             "scotland",
		Domains:          []anvilmodel.FailureDomain{"glasgow", "edinburgh", "perth"},
		Nodes:            []anvilmodel.FailureDomain{"glasgow", "edinburgh", "perth", "glasgow"},
		InterDomainDelay: 1500 * time.Microsecond,
		IntraDomainDelay: localDelay,
		CallerDelay:      callerDelay,
		Services: []Service{
			{
				Name:            "grinding-planner",
				Shards:          20,
				Leafs:           40,
				Slots:           2,
				Connections:     25,
				ConnectTime:     6 * time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    work(shardMedian),
				Streams:         shardedStreams(),
			},
			{
				Name:            "depot-desk",
				Shards:          1,
				Leafs:           20,
				Slots:           2,
				Connections:     35,
				ConnectTime:     time.Millisecond,
				ColdConcurrency: 1,
				ServiceTimes:    work(deskMedian),
				Streams:         deskStreams(),
			},
		},
	}
}

// FanOut returns one origin of the design size: 99 shards of 2 leafs, with the
// dispatching nodes of 13 leaf groups in 4 failure domains. The other origins'
// calls are the background of the scenario.
func FanOut() Deployment {
	d := Deployment{
		Name:             "design",
		Domains:          []anvilmodel.FailureDomain{"a", "b", "c", "d"},
		InterDomainDelay: 1500 * time.Microsecond,
		IntraDomainDelay: localDelay,
		CallerDelay:      callerDelay,
		Services: []Service{
			{
				Name:            "index",
				Shards:          99,
				Leafs:           198,
				Slots:           3,
				Connections:     30,
				ConnectTime:     6 * time.Millisecond,
				ColdConcurrency: 2,
				ServiceTimes:    work(shardMedian),
				Streams:         shardedStreams(),
			},
		},
	}
	// One answer in a hundred is late, at most; most queries are broad so that
	// there are enough to tell.
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

// leafs returns the leafs of a service. The leafs of one shard stand in
// different failure domains.
func (d *Deployment) leafs(s *Service) []anvilmodel.Leaf {
	leafs := make([]anvilmodel.Leaf, 0, s.Leafs)
	for i := range s.Leafs {
		shard := i % s.Shards
		replica := i / s.Shards
		leafs = append(leafs, anvilmodel.Leaf{
			Name:          anvilmodel.LeafName(fmt.Sprintf("%s-%02d-%d", s.Name, shard, replica)),
			Service:       s.Name,
			FailureDomain: d.Domains[(shard+replica)%len(d.Domains)],
		})
	}
	return leafs
}
