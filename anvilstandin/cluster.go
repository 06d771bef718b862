package anvilstandin

import (
	"fmt"
	"net/netip"
	"sync"

	"anvilbridge/anvilmodel"
)

// firstSnapshot is the snapshot that leafs hold when a cluster starts.
const firstSnapshot anvilmodel.Snapshot = 1

// ClusterConfig holds the settings of a Cluster.
type ClusterConfig struct {
	Services []ServiceConfig
	// FailureDomains are used in turn, so that the replicas of a shard are in
	// different ones where possible; one named "a" by default.
	FailureDomains []anvilmodel.FailureDomain
	// Seed determines the service times.
	Seed uint64
}

// ServiceConfig describes the leafs of a service. The settings of a single
// leaf have the meaning and the defaults that UpstreamConfig gives them.
type ServiceConfig struct {
	Name anvilmodel.ServiceName
	// Shards and Replicas are at least 1; there are Shards*Replicas leafs.
	Shards          int
	Replicas        int
	Slots           int
	QueueLength     int
	ConnectionLimit int
	ColdConcurrency int
	WarmAfter       int
	Cold            bool
	ServiceTime     ServiceTime
}

// Cluster is a configuration service, a VM list and the leafs of some services.
type Cluster struct {
	config  *ConfigService
	vms     *VMList
	control *server

	mu     sync.Mutex
	leafs  []*Upstream
	byName map[anvilmodel.LeafName]*Upstream
}

// NewCluster starts the stand-ins. Leafs are named <service>-<shard>-<replica>
// and hold snapshot 1. It returns BadSetting or Failed. The cluster must be
// closed by Shutdown.
func NewCluster(c ClusterConfig) (*Cluster, error) {
	k := &Cluster{
		byName: make(map[anvilmodel.LeafName]*Upstream),
	}
	if err := k.start(c); err != nil {
		k.Shutdown()
		return nil, err
	}
	return k, nil
}

func (k *Cluster) start(c ClusterConfig) error {
	var err error
	if k.config, err = NewConfigService(); err != nil {
		return err
	}
	if k.vms, err = NewVMList(); err != nil {
		return err
	}
	if k.control, err = startServer(k.controlHandler(), 0); err != nil {
		return err
	}
	domains := c.FailureDomains
	if len(domains) == 0 {
		domains = []anvilmodel.FailureDomain{"a"}
	}
	for i := range c.Services {
		if err := k.startService(&c.Services[i], domains, c.Seed); err != nil {
			return err
		}
	}
	return nil
}

func (k *Cluster) startService(s *ServiceConfig, domains []anvilmodel.FailureDomain, seed uint64) error {
	if s.Shards < 1 || s.Replicas < 1 {
		return BadSetting.New("start service %s: want at least 1 shard and 1 replica", s.Name)
	}
	// Replica by replica, so that leaf i holds shard i modulo the shard count,
	// also after repartitioning.
	for i := range s.Shards * s.Replicas {
		shard, replica := i%s.Shards, i/s.Shards
		u, err := NewUpstream(UpstreamConfig{
			Name:            anvilmodel.LeafName(fmt.Sprintf("%s-%d-%d", s.Name, shard, replica)),
			Service:         s.Name,
			FailureDomain:   domains[(shard+replica)%len(domains)],
			Slots:           s.Slots,
			QueueLength:     s.QueueLength,
			ConnectionLimit: s.ConnectionLimit,
			ColdConcurrency: s.ColdConcurrency,
			WarmAfter:       s.WarmAfter,
			Cold:            s.Cold,
			ServiceTime:     s.ServiceTime,
			Seed:            seed,
			Holdings: []anvilmodel.Holding{{
				Snapshot:   firstSnapshot,
				Shard:      anvilmodel.Shard(shard),
				ShardCount: s.Shards,
			}},
		})
		if err != nil {
			return err
		}
		k.mu.Lock()
		k.leafs = append(k.leafs, u)
		k.byName[u.config.Name] = u
		k.mu.Unlock()
	}
	return nil
}

// Config returns the configuration service.
func (k *Cluster) Config() *ConfigService {
	return k.config
}

// VMList returns the VM list.
func (k *Cluster) VMList() *VMList {
	return k.vms
}

// ControlAddress is where the control endpoint listens.
func (k *Cluster) ControlAddress() netip.AddrPort {
	return k.control.addr()
}

// Upstream returns a leaf by name, or nil.
func (k *Cluster) Upstream(name anvilmodel.LeafName) *Upstream {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byName[name]
}

// Upstreams returns the leafs of a service, replica by replica, or all leafs
// if the name is empty.
func (k *Cluster) Upstreams(service anvilmodel.ServiceName) []*Upstream {
	k.mu.Lock()
	defer k.mu.Unlock()
	var some []*Upstream
	for _, u := range k.leafs {
		if service == "" || u.config.Service == service {
			some = append(some, u)
		}
	}
	return some
}

// Leafs returns the leafs as a base file declares them.
func (k *Cluster) Leafs() []anvilmodel.Leaf {
	ups := k.Upstreams("")
	leafs := make([]anvilmodel.Leaf, len(ups))
	for i, u := range ups {
		leafs[i] = u.Leaf()
	}
	return leafs
}

// PublishSnapshot adds a snapshot with the given shard count to every leaf of a
// service. Leaf i holds shard i modulo the count. It returns BadSetting if
// there are fewer leafs than shards.
func (k *Cluster) PublishSnapshot(service anvilmodel.ServiceName, snapshot anvilmodel.Snapshot, shards int) error {
	ups := k.Upstreams(service)
	if shards < 1 || shards > len(ups) {
		return BadSetting.New("publish snapshot %d of service %s: %d shards on %d leafs", snapshot, service, shards, len(ups))
	}
	for i, u := range ups {
		u.AddHolding(anvilmodel.Holding{
			Snapshot:   snapshot,
			Shard:      anvilmodel.Shard(i % shards),
			ShardCount: shards,
		})
	}
	return nil
}

// DropSnapshot makes every leaf of a service drop a snapshot.
func (k *Cluster) DropSnapshot(service anvilmodel.ServiceName, snapshot anvilmodel.Snapshot) {
	for _, u := range k.Upstreams(service) {
		u.DropSnapshot(snapshot)
	}
}

// DuplicateExecutions returns the tickets that began to run more than once on one
// shard, on any leafs, with the number of runs.
func (k *Cluster) DuplicateExecutions() map[Execution]int {
	runs := k.Executions()
	for e, n := range runs {
		if n < 2 {
			delete(runs, e)
		}
	}
	return runs
}

// Executions returns how often each ticket began to run on each shard.
func (k *Cluster) Executions() map[Execution]int {
	runs := make(map[Execution]int)
	for _, u := range k.Upstreams("") {
		for e, n := range u.Executions() {
			runs[e] += n
		}
	}
	return runs
}

// Shutdown stops all stand-ins.
func (k *Cluster) Shutdown() {
	if k.control != nil {
		k.control.stop()
	}
	for _, u := range k.Upstreams("") {
		u.Stop()
	}
	if k.config != nil {
		k.config.Stop()
	}
	if k.vms != nil {
		k.vms.Stop()
	}
}
