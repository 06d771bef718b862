package anvilstandin

import (
	"fmt"
	"net/netip"
	"sync"

	"anvilbridge/anvilmodel"
)

// firstSnapshot is the snapshot that all leaves hold when a cluster starts.
const firstSnapshot anvilmodel.Snapshot = 1

// ClusterConfig holds the settings of a Cluster.
type ClusterConfig struct {
	Services []ServiceConfig
	// FailureDomains are assigned to the leaves round-robin, so that the replicas of
	// a shard are in different failure domains where possible. By default there is
	// one, "a".
	FailureDomains []anvilmodel.FailureDomain
	// Seed is the seed of the random service times.
	Seed uint64
}

// ServiceConfig describes the leaves of a service. The settings of the single leaf
// have the same meaning and the same defaults as in UpstreamConfig.
type ServiceConfig struct {
	Name anvilmodel.ServiceName
	// Shards and Replicas are at least 1; there are Shards*Replicas leaves.
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

// Cluster runs a fake configuration service, a fake VM list, the fake leaves of
// some services and an HTTP endpoint to control them.
type Cluster struct {
	configService *ConfigService
	vmList        *VMList
	control       *server

	mu        sync.Mutex
	upstreams []*Upstream
	byName    map[anvilmodel.LeafName]*Upstream
}

// NewCluster starts a cluster, which must be closed with Shutdown. The leaves are
// named <service>-<shard>-<replica> and hold snapshot 1. The error is BadSetting
// or StartFailed.
func NewCluster(config ClusterConfig) (*Cluster, error) {
	cluster := &Cluster{
		byName: make(map[anvilmodel.LeafName]*Upstream),
	}
	if err := cluster.start(config); err != nil {
		cluster.Shutdown()
		return nil, err
	}
	return cluster, nil
}

func (c *Cluster) start(config ClusterConfig) error {
	var err error
	if c.configService, err = NewConfigService(); err != nil {
		return err
	}
	if c.vmList, err = NewVMList(); err != nil {
		return err
	}
	if c.control, err = startServer(c.controlHandler(), 0); err != nil {
		return err
	}
	domains := config.FailureDomains
	if len(domains) == 0 {
		domains = []anvilmodel.FailureDomain{"a"}
	}
	for i := range config.Services {
		if err := c.startService(&config.Services[i], domains, config.Seed); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startService(s *ServiceConfig, domains []anvilmodel.FailureDomain, seed uint64) error {
	if s.Shards < 1 || s.Replicas < 1 {
		return BadSetting.New("start service %s: want at least 1 shard and 1 replica", s.Name)
	}
	// Leaves are created replica by replica, so that leaf i holds shard i modulo the
	// shard count. PublishSnapshot relies on this order when the shard count
	// changes.
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
		c.mu.Lock()
		c.upstreams = append(c.upstreams, u)
		c.byName[u.config.Name] = u
		c.mu.Unlock()
	}
	return nil
}

// Config returns the fake configuration service.
func (c *Cluster) Config() *ConfigService {
	return c.configService
}

// VMList returns the fake VM list.
func (c *Cluster) VMList() *VMList {
	return c.vmList
}

// ControlAddress returns the address of the control endpoint.
func (c *Cluster) ControlAddress() netip.AddrPort {
	return c.control.addr()
}

// Upstream returns the leaf with the given name, or nil.
func (c *Cluster) Upstream(name anvilmodel.LeafName) *Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byName[name]
}

// Upstreams returns the leaves of a service, ordered by replica and then shard, or
// all leaves if the name is empty.
func (c *Cluster) Upstreams(service anvilmodel.ServiceName) []*Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var upstreams []*Upstream
	for _, u := range c.upstreams {
		if service == "" || u.config.Service == service {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}

// Leaves returns all leaves as they are declared in a base file.
func (c *Cluster) Leaves() []anvilmodel.Leaf {
	upstreams := c.Upstreams("")
	leaves := make([]anvilmodel.Leaf, len(upstreams))
	for i, u := range upstreams {
		leaves[i] = u.Leaf()
	}
	return leaves
}

// PublishSnapshot adds a snapshot with the given number of shards to all leaves of
// a service. Leaf i holds shard i modulo that number. It returns BadSetting if
// there are fewer leaves than shards.
func (c *Cluster) PublishSnapshot(service anvilmodel.ServiceName, snapshot anvilmodel.Snapshot, shards int) error {
	upstreams := c.Upstreams(service)
	if shards < 1 || shards > len(upstreams) {
		return BadSetting.New("publish snapshot %d of service %s: %d shards on %d leafs", snapshot, service, shards, len(upstreams))
	}
	for i, u := range upstreams {
		u.AddHolding(anvilmodel.Holding{
			Snapshot:   snapshot,
			Shard:      anvilmodel.Shard(i % shards),
			ShardCount: shards,
		})
	}
	return nil
}

// DropSnapshot removes a snapshot from all leaves of a service.
func (c *Cluster) DropSnapshot(service anvilmodel.ServiceName, snapshot anvilmodel.Snapshot) {
	for _, u := range c.Upstreams(service) {
		u.DropSnapshot(snapshot)
	}
}

// DuplicateExecutions returns the executions that were started more than once, on
// the same leaf or on different ones, with the number of starts.
func (c *Cluster) DuplicateExecutions() map[Execution]int {
	runs := c.Executions()
	for e, n := range runs {
		if n < 2 {
			delete(runs, e)
		}
	}
	return runs
}

// Executions returns how often each ticket was started on each shard, on all
// leaves together.
func (c *Cluster) Executions() map[Execution]int {
	runs := make(map[Execution]int)
	for _, u := range c.Upstreams("") {
		for e, n := range u.Executions() {
			runs[e] += n
		}
	}
	return runs
}

// Shutdown stops all fakes of the cluster and the control endpoint.
func (c *Cluster) Shutdown() {
	if c.control != nil {
		c.control.stop()
	}
	for _, u := range c.Upstreams("") {
		u.Stop()
	}
	if c.configService != nil {
		c.configService.Stop()
	}
	if c.vmList != nil {
		c.vmList.Stop()
	}
}
