package anvilnode_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilnode"
	"anvilbridge/anvilstandin"
)

// TestMain guards against goroutines and connections that outlive a node.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	// testTimeout is far longer than any wait in these tests takes, even on a slow
	// machine.
	testTimeout = 2 * time.Minute
	// classTimeout is long enough for a query on a slow machine. The quiet period of
	// cold leaves is as long, so no test can start earlier.
	classTimeout = 4 * time.Second

	serviceLots    anvilmodel.ServiceName = "lots"
	serviceCertify anvilmodel.ServiceName = "certify"
	serviceArchive anvilmodel.ServiceName = "archive"
	// lotsShards is the number of shards of the first snapshot of serviceLots.
	lotsShards  = 20
	overlayName = "overlay-port.yaml"
)

var domains = []anvilmodel.FailureDomain{"fd-1", "fd-2", "fd-3"}

// eventually waits until a condition is true.
func eventually(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met within %s: %s", testTimeout, description)
		}
	}
}

// fleet holds the nodes of a test and the stand-ins for leaves and platform.
type fleet struct {
	tb      testing.TB
	cluster *anvilstandin.Cluster
	network *stallNetwork
	nodes   []*testNode
	// configure, if set, modifies the settings of a node before it starts.
	configure func(*anvilnode.Config)
}

type testNode struct {
	*anvilnode.Node
	listed anvilmodel.ListedVM
	slot   anvilmodel.SlotName
	log    *logBuffer
	// kill ends the process without a graceful shutdown.
	kill context.CancelFunc
	// stopped is closed when Run has returned. err is then its result.
	stopped chan struct{}
	err     error
}

// logBuffer collects the log lines of a node.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines that contain a text.
func (b *logBuffer) lines(text string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lines []string
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

func serviceConfig(name anvilmodel.ServiceName, shards, replicas int) anvilstandin.ServiceConfig {
	return anvilstandin.ServiceConfig{
		Name:            name,
		Shards:          shards,
		Replicas:        replicas,
		Slots:           4,
		QueueLength:     32,
		ConnectionLimit: 60,
		ColdConcurrency: 4,
		WarmAfter:       8,
		ServiceTime: anvilstandin.ServiceTime{
			Median: time.Millisecond,
			Sigma:  0.3,
		},
	}
}

// newFleet starts the stand-ins and prepares a node for each of the given entry slots.
// It starts the given number of nodes.
func newFleet(tb testing.TB, slots, running int, configure func(*anvilnode.Config)) *fleet {
	tb.Helper()
	cluster, err := anvilstandin.NewCluster(anvilstandin.ClusterConfig{
		Services:       []anvilstandin.ServiceConfig{serviceConfig(serviceLots, lotsShards, 2), serviceConfig(serviceCertify, 4, 2), serviceConfig(serviceArchive, 1, 3)},
		FailureDomains: domains,
		Seed:           1,
	})
	if err != nil {
		tb.Fatal(err)
	}
	f := &fleet{
		tb:        tb,
		cluster:   cluster,
		network:   &stallNetwork{},
		configure: configure,
	}
	tb.Cleanup(f.stop)
	cluster.Config().SetDocument(anvilconfig.BaseFileName, f.baseFile(slots, 4))
	cluster.Config().SetDocument(overlayName, []byte("site: port\n"))
	var listeners []net.Listener
	for i := range slots {
		m, opened := f.prepareNode(i)
		f.nodes = append(f.nodes, m)
		listeners = append(listeners, opened...)
	}
	f.publishVMList(f.nodes...)
	for i, m := range f.nodes {
		if i < running {
			f.start(m, listeners[2*i], listeners[2*i+1])
			continue
		}
		_ = listeners[2*i].Close()
		_ = listeners[2*i+1].Close()
	}
	return f
}

// baseFile returns a base file with the given numbers of entry slots and of concurrent
// calls per leaf.
func (f *fleet) baseFile(slots, calls int) []byte {
	b := &bytes.Buffer{}
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(b, format+"\n", values...) }
	line("sites: [port]")
	line("failure-domains: {fd-1: {}, fd-2: {}, fd-3: {}}")
	line("entry-slots:")
	for i := range slots {
		line("  entry-%d: {failure-domain: %s}", i+1, domains[i%len(domains)])
	}
	line("services:")
	for _, s := range []anvilmodel.ServiceName{serviceLots, serviceCertify, serviceArchive} {
		line("  %s:", s)
		line("    {slots: %d, connections: 60, cold-concurrency: %d, cold-duration: 100ms, connect-time: 1ms, leafs: {", calls, calls)
		for _, u := range f.cluster.Upstreams(s) {
			l := u.Leaf()
			line("      %s: {address: \"%s\", failure-domain: %s},", l.Name, l.Address, l.FailureDomain)
		}
		line("    }}")
	}
	line("classes:")
	line("  broad: {return-reserve: 500ms, mode: broad, timeout: %s, services: [%s]}", classTimeout, serviceLots)
	line("  urgent: {return-reserve: 500ms, mode: urgent, timeout: %s, coverage-floor: 0.8, services: [%s]}", classTimeout, serviceLots)
	line("  once: {return-reserve: 500ms, mode: urgent, timeout: %s, non-idempotent: true, priority: 30, services: [%s]}", classTimeout, serviceCertify)
	line("  look: {return-reserve: 500ms, mode: broad, timeout: %s, services: [%s]}", classTimeout, serviceCertify)
	line("  patient: {return-reserve: 500ms, mode: patient, timeout: %s, services: [%s]}", classTimeout, serviceArchive)
	line("limits: {max-body-bytes: 65536}")
	return b.Bytes()
}

// prepareNode opens the listeners of a node, so that its addresses are known.
func (f *fleet) prepareNode(number int) (*testNode, []net.Listener) {
	var listeners []net.Listener
	var addresses []netip.AddrPort
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.tb.Fatal(err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return &testNode{
		listed: anvilmodel.ListedVM{
			Name:          anvilmodel.VMName(fmt.Sprintf("vm-%d", number+1)),
			CallerAddress: addresses[0],
			PeerAddress:   addresses[1],
			FailureDomain: domains[number%len(domains)],
		},
		slot: anvilmodel.SlotName(fmt.Sprintf("entry-%d", number+1)),
		log:  &logBuffer{},
	}, listeners
}

// publishVMList publishes the VM list.
func (f *fleet) publishVMList(nodes ...*testNode) {
	var vms []anvilmodel.ListedVM
	for _, m := range nodes {
		vms = append(vms, m.listed)
	}
	f.cluster.VMList().Set(vms...)
}

func (f *fleet) start(m *testNode, callers, peers net.Listener) {
	f.tb.Helper()
	config := anvilnode.Config{
		Name:                 m.listed.Name,
		Site:                 "port",
		Slot:                 m.slot,
		FailureDomain:        m.listed.FailureDomain,
		CallerAddress:        m.listed.CallerAddress,
		PeerAddress:          m.listed.PeerAddress,
		CallerListener:       callers,
		PeerListener:         peers,
		ConfigServiceAddress: f.cluster.Config().Address(),
		VMListAddress:        f.cluster.VMList().Address(),
		LeafPollInterval:     100 * time.Millisecond,
		Seed:                 uint64(len(f.nodes)),
		Log:                  zerolog.New(m.log),
		DialPeer:             f.network.dialer(m),
	}
	if f.configure != nil {
		f.configure(&config)
	}
	node, err := anvilnode.New(config)
	if err != nil {
		f.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.Node = node
	m.kill = cancel
	m.stopped = make(chan struct{})
	go func() {
		defer close(m.stopped)
		m.err = node.Run(ctx)
	}()
}

// kill ends the process of a node without a graceful shutdown and waits until it has
// stopped.
func (f *fleet) kill(m *testNode) {
	m.kill()
	<-m.stopped
}

func (f *fleet) stop() {
	for _, m := range f.nodes {
		if m.Node != nil {
			f.kill(m)
		}
	}
	f.cluster.Shutdown()
}

// awaitFullCoverage waits until each of the nodes answers queries to every service with
// full coverage 10 times in a row. The leaves are warm then.
func (f *fleet) awaitFullCoverage(nodes ...*testNode) {
	f.tb.Helper()
	for _, m := range nodes {
		for _, q := range []query{{service: serviceLots, class: "broad"}, {service: serviceArchive, class: "patient"}, {service: serviceCertify, class: "look"}} {
			consecutive := 0
			eventually(f.tb, fmt.Sprintf("answers of %s with full coverage by %s", q.service, m.listed.Name), func() bool {
				r := f.send(m, q)
				if r.answer != nil && len(r.answer.Coverage.Missing) == 0 {
					consecutive++
				} else {
					consecutive = 0
				}
				return consecutive == 10
			})
		}
	}
}

// awaitRevision waits until a revision is active at all nodes, which must be running.
func (f *fleet) awaitRevision(version uint64) {
	f.tb.Helper()
	for _, m := range f.nodes {
		eventually(f.tb, fmt.Sprintf("revision %d at %s", version, m.listed.Name), func() bool {
			if refused := m.log.lines("config-refused"); len(refused) > 0 {
				f.tb.Fatal(refused)
			}
			return m.Status().Revision >= version
		})
	}
}
