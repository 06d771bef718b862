package anvilcapacity

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilnode"
	"anvilbridge/anvilstandin"
)

// fleetStart bounds the start of a fleet of real nodes.
const fleetStart = 30 * time.Second

// nodeFleet is real nodes and stand-ins in this process, on loopback.
type nodeFleet struct {
	cluster *anvilstandin.Cluster
	vms     []anvilmodel.ListedVM
	nodes   []*anvilnode.Node
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// startNodeFleet starts nodes and waits until all serve. A poll interval of 0
// is the default one.
func startNodeFleet(ctx context.Context, nodes int, services []anvilstandin.ServiceConfig, poll time.Duration, seed uint64) (*nodeFleet, error) {
	domains := []anvilmodel.FailureDomain{}
	for i := range designDomains {
		domains = append(domains, domainName(i))
	}
	cluster, err := anvilstandin.NewCluster(anvilstandin.ClusterConfig{
		Services:       services,
		FailureDomains: domains,
		Seed:           seed,
	})
	if err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(context.Background())
	f := &nodeFleet{
		cluster: cluster,
		cancel:  cancel,
	}
	cluster.Config().SetDocument(anvilconfig.BaseName, fleetBase(nodes, cluster.Leafs()))
	if err := f.startNodes(run, nodes, poll, seed); err != nil {
		f.stop()
		return nil, err
	}
	if err := f.awaitReady(ctx); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// fleetBase is a base file whose leafs need not warm up for long.
func fleetBase(nodes int, leafs []anvilmodel.Leaf) []byte {
	return append(renderBase(nodes, leafs, nil),
		"  patience: {mode: broad, timeout: 2s}\npolicy: {hedge-budget: 0}\n"...)
}

func (f *nodeFleet) startNodes(ctx context.Context, count int, poll time.Duration, seed uint64) error {
	listeners := make([]net.Listener, 0, 2*count)
	for i := range count {
		vm := anvilmodel.ListedVM{
			Name:          anvilmodel.VMName(fmt.Sprintf("entry-vm-%03d", i)),
			FailureDomain: domainName(i),
		}
		for _, address := range []*netip.AddrPort{&vm.CallerAddress, &vm.PeerAddress} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			*address = l.Addr().(*net.TCPAddr).AddrPort()
			listeners = append(listeners, l)
		}
		f.vms = append(f.vms, vm)
	}
	f.cluster.VMs().Set(f.vms...)
	for i, vm := range f.vms {
		node, err := anvilnode.New(anvilnode.Config{
			Name:           vm.Name,
			Site:           "north",
			Slot:           slotName(i),
			FailureDomain:  vm.FailureDomain,
			CallerAddress:  vm.CallerAddress,
			PeerAddress:    vm.PeerAddress,
			CallerListener: listeners[2*i],
			PeerListener:   listeners[2*i+1],
			ConfigService:  f.cluster.Config().Address(),
			VMList:         f.cluster.VMs().Address(),
			PollInterval:   poll,
			Seed:           seed + uint64(i) + 1,
		})
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, node)
		f.tasks.Go(func() {
			// The listeners are open, and the context ends the run.
			_ = node.Run(ctx)
		})
	}
	return nil
}

func (f *nodeFleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStart)
	defer cancel()
	for _, n := range f.nodes {
		for n.Status().NotReady != "" {
			if err := sleep(ctx, 20*time.Millisecond); err != nil {
				return fmt.Errorf("a node was not ready: %s: %w", n.Status().NotReady, err)
			}
		}
	}
	return nil
}

// seeds are the addresses that callers ask first.
func (f *nodeFleet) seeds() []netip.AddrPort {
	seeds := []netip.AddrPort{}
	for _, vm := range f.vms {
		seeds = append(seeds, vm.CallerAddress)
	}
	return seeds
}

func (f *nodeFleet) stop() {
	f.cancel()
	f.tasks.Wait()
	f.cluster.Shutdown()
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
