// Package anvildemo runs several nodes and fakes of the systems around them in one
// process, applies load and injects faults, and checks invariants.
package anvildemo

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilnode"
	"anvilbridge/anvilquery"
	"anvilbridge/anvilstandin"
)

// overlayDocument is the document name of the overlay in the configuration
// service.
const overlayDocument = "overlay-" + site + ".yaml"

var failureDomains = []anvilmodel.FailureDomain{"fd-1", "fd-2", "fd-3"}

// services returns the services of an imaginary registry: a portal whose queries
// address all shards, non-idempotent certifications, and an archive.
func services() []serviceSettings {
	return []serviceSettings{
		{
			name:            "registry-portal",
			slots:           3,
			connections:     30,
			coldConcurrency: 2,
			classes: []classSettings{
				{
					name: "buyers",
					yaml: "mode: broad, timeout: 110ms, return-reserve: 10ms",
				},
				{
					name: "foremen",
					yaml: "mode: urgent, timeout: 60ms, coverage-floor: 0.8, return-reserve: 10ms",
				},
			},
		},
		{
			name:            "grade-certification",
			slots:           3,
			connections:     30,
			coldConcurrency: 2,
			classes: []classSettings{
				{
					name: "certify",
					yaml: "mode: urgent, timeout: 500ms, return-reserve: 10ms, non-idempotent: true, priority: 30",
				},
			},
		},
		{
			name:            "archive-desk",
			slots:           4,
			connections:     100,
			coldConcurrency: 2,
			classes: []classSettings{
				{
					name: "clerks",
					yaml: "mode: patient, timeout: 500ms, return-reserve: 10ms",
				},
			},
		},
	}
}

func standInServices() []anvilstandin.ServiceConfig {
	shardsAndReplicas := map[anvilmodel.ServiceName][2]int{
		"registry-portal":     {20, 2},
		"grade-certification": {10, 2},
		"archive-desk":        {1, 6},
	}
	configs := []anvilstandin.ServiceConfig{}
	for _, s := range services() {
		configs = append(configs, anvilstandin.ServiceConfig{
			Name:            s.name,
			Shards:          shardsAndReplicas[s.name][0],
			Replicas:        shardsAndReplicas[s.name][1],
			Slots:           s.slots,
			QueueLength:     s.slots,
			ConnectionLimit: s.connections,
			ColdConcurrency: s.coldConcurrency,
			ServiceTime: anvilstandin.ServiceTime{
				Median:          3 * time.Millisecond,
				Sigma:           0.3,
				StragglerShare:  0.01,
				StragglerFactor: 8,
			},
		})
	}
	return configs
}

// fleet holds the nodes and the fakes of a demo.
type fleet struct {
	cluster *anvilstandin.Cluster
	nodes   []*fleetNode
	seed    uint64
	log     zerolog.Logger
}

type fleetNode struct {
	node   *anvilnode.Node
	listed anvilmodel.ListedVM
	slot   anvilmodel.SlotName
	cancel context.CancelFunc
	done   sync.WaitGroup
	err    error
}

// startFleet starts the fakes and one node for each entry slot.
func startFleet(nodeCount int, seed uint64, log zerolog.Logger) (*fleet, error) {
	slots := entrySlots(nodeCount)
	cluster, err := startCluster(slots, seed)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		cluster: cluster,
		seed:    seed,
		log:     log,
	}
	listeners, err := f.openListeners(slots)
	if err != nil {
		f.stop()
		return nil, err
	}
	for i, m := range f.nodes {
		if err := f.startNode(m, listeners[2*i], listeners[2*i+1], uint64(i)); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// openListeners opens the listeners of all nodes and publishes the VM list. This is
// done before any node starts, so that the list is complete from the beginning.
func (f *fleet) openListeners(slots []slotSettings) ([]net.Listener, error) {
	listeners := []net.Listener{}
	vms := []anvilmodel.ListedVM{}
	for i, s := range slots {
		addresses := [2]netip.AddrPort{}
		for k := range addresses {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, fmt.Errorf("listening for node %d: %w", i+1, err)
			}
			listeners = append(listeners, l)
			addresses[k] = l.Addr().(*net.TCPAddr).AddrPort()
		}
		m := &fleetNode{
			slot: s.name,
			listed: anvilmodel.ListedVM{
				Name:          anvilmodel.VMName(fmt.Sprintf("vm-%d", i+1)),
				CallerAddress: addresses[0],
				PeerAddress:   addresses[1],
				FailureDomain: s.domain,
			},
		}
		f.nodes = append(f.nodes, m)
		vms = append(vms, m.listed)
	}
	f.cluster.VMList().Set(vms...)
	return listeners, nil
}

func (f *fleet) startNode(m *fleetNode, callers, peers net.Listener, index uint64) error {
	node, err := anvilnode.New(anvilnode.Config{
		Name:                 m.listed.Name,
		Site:                 site,
		Slot:                 m.slot,
		FailureDomain:        m.listed.FailureDomain,
		CallerAddress:        m.listed.CallerAddress,
		PeerAddress:          m.listed.PeerAddress,
		CallerListener:       callers,
		PeerListener:         peers,
		ConfigServiceAddress: f.cluster.Config().Address(),
		VMListAddress:        f.cluster.VMList().Address(),
		Seed:                 f.seed + index + 1,
		Log:                  f.log.With().Str("node", string(m.listed.Name)).Logger(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.node = node
	m.cancel = cancel
	m.done.Add(1)
	go func() {
		defer m.done.Done()
		m.err = node.Run(ctx)
	}()
	return nil
}

// awaitReady waits until all nodes are ready to serve.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, m := range f.nodes {
		for {
			reason := m.node.Status().NotReady
			if reason == "" {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("waiting for %s: %s", m.listed.Name, reason)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// awaitRevision waits until a revision is in force on all nodes that are not
// leaving, and returns how long that took.
func (f *fleet) awaitRevision(ctx context.Context, version uint64) (time.Duration, error) {
	started := time.Now()
	for _, m := range f.nodes {
		for !m.node.Status().Leaving && m.node.Status().Revision < version {
			if ctx.Err() != nil {
				return 0, fmt.Errorf("waiting for revision %d at %s: revision %d is in force", version, m.listed.Name, m.node.Status().Revision)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(started), nil
}

// seeds returns the nodes from which callers fetch the address list at first.
func (f *fleet) seeds() []netip.AddrPort {
	seeds := []netip.AddrPort{}
	for _, m := range f.nodes {
		seeds = append(seeds, m.listed.CallerAddress)
	}
	return seeds
}

// counters returns the sums of the query counters of all nodes.
func (f *fleet) counters() anvilquery.Counters {
	var sum anvilquery.Counters
	for _, m := range f.nodes {
		c := m.node.QueryCounters()
		sum.Calls += c.Calls
		sum.HedgesSent += c.HedgesSent
		sum.HedgesWon += c.HedgesWon
		sum.Retries += c.Retries
		sum.Restarts += c.Restarts
	}
	return sum
}

func (f *fleet) stop() {
	for _, m := range f.nodes {
		if m.cancel != nil {
			m.cancel()
		}
	}
	for _, m := range f.nodes {
		m.done.Wait()
	}
	f.cluster.Shutdown()
}
