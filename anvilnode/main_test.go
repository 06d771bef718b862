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
	// generous is far more than anything here takes, also on a slow machine.
	generous = 2 * time.Minute
	// classTimeout leaves a slow machine time for a query. The quiet period of
	// cold leafs is as long, so that no test can begin earlier.
	classTimeout = 4 * time.Second

	lots    anvilmodel.ServiceName = "lots"
	certify anvilmodel.ServiceName = "certify"
	archive anvilmodel.ServiceName = "archive"
	// lotShards is the shard count of the first snapshot of lots.
	lotShards = 20
	overlay   = "overlay-port.yaml"
)

var domains = []anvilmodel.FailureDomain{"fd-1", "fd-2", "fd-3"}

// eventually waits until a condition holds.
func eventually(tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	for end := time.Now().Add(generous); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("not within %s: %s", generous, what)
		}
	}
}

// fleet is the stand-ins and the nodes of a test.
type fleet struct {
	tb      testing.TB
	cluster *anvilstandin.Cluster
	network *stallNetwork
	nodes   []*testNode
	// change may adjust the settings of a node before it starts.
	change func(*anvilnode.Config)
}

type testNode struct {
	*anvilnode.Node
	listed anvilmodel.ListedVM
	slot   anvilmodel.SlotName
	log    *logBuffer
	// kill ends the process at once.
	kill context.CancelFunc
	// ended is closed when Run has returned, with err.
	ended chan struct{}
	err   error
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

func service(name anvilmodel.ServiceName, shards, replicas int) anvilstandin.ServiceConfig {
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

// newFleet starts the stand-ins for the given number of entry slots, and as many
// nodes as running says.
func newFleet(tb testing.TB, slots, running int, change func(*anvilnode.Config)) *fleet {
	tb.Helper()
	cluster, err := anvilstandin.NewCluster(anvilstandin.ClusterConfig{
		Services:       []anvilstandin.ServiceConfig{service(lots, lotShards, 2), service(certify, 4, 2), service(archive, 1, 3)},
		FailureDomains: domains,
		Seed:           1,
	})
	if err != nil {
		tb.Fatal(err)
	}
	f := &fleet{
		tb:      tb,
		cluster: cluster,
		network: &stallNetwork{},
		change:  change,
	}
	tb.Cleanup(f.stop)
	cluster.Config().SetDocument(anvilconfig.BaseName, f.baseFile(slots, 4))
	cluster.Config().SetDocument(overlay, []byte("site: port\n"))
	var listeners []net.Listener
	for i := range slots {
		m, opened := f.prepare(i)
		f.nodes = append(f.nodes, m)
		listeners = append(listeners, opened...)
	}
	f.list(f.nodes...)
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

// baseFile returns a base file with entry slots and calls per leaf as given.
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
	for _, s := range []anvilmodel.ServiceName{lots, certify, archive} {
		line("  %s:", s)
		line("    {slots: %d, connections: 60, cold-concurrency: %d, cold-duration: 100ms, connect-time: 1ms, leafs: {", calls, calls)
		for _, u := range f.cluster.Upstreams(s) {
			l := u.Leaf()
			line("      %s: {address: \"%s\", failure-domain: %s},", l.Name, l.Address, l.FailureDomain)
		}
		line("    }}")
	}
	line("classes:")
	line("  broad: {return-reserve: 500ms, mode: broad, timeout: %s, services: [%s]}", classTimeout, lots)
	line("  urgent: {return-reserve: 500ms, mode: urgent, timeout: %s, coverage-floor: 0.8, services: [%s]}", classTimeout, lots)
	line("  once: {return-reserve: 500ms, mode: urgent, timeout: %s, non-idempotent: true, priority: 30, services: [%s]}", classTimeout, certify)
	line("  look: {return-reserve: 500ms, mode: broad, timeout: %s, services: [%s]}", classTimeout, certify)
	line("  patient: {return-reserve: 500ms, mode: patient, timeout: %s, services: [%s]}", classTimeout, archive)
	line("limits: {max-body-bytes: 65536}")
	return b.Bytes()
}

// prepare opens the listeners of a node, so that its addresses are known.
func (f *fleet) prepare(i int) (*testNode, []net.Listener) {
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
			Name:          anvilmodel.VMName(fmt.Sprintf("vm-%d", i+1)),
			CallerAddress: addresses[0],
			PeerAddress:   addresses[1],
			FailureDomain: domains[i%len(domains)],
		},
		slot: anvilmodel.SlotName(fmt.Sprintf("entry-%d", i+1)),
		log:  &logBuffer{},
	}, listeners
}

// list publishes the list of VMs.
func (f *fleet) list(nodes ...*testNode) {
	var vms []anvilmodel.ListedVM
	for _, m := range nodes {
		vms = append(vms, m.listed)
	}
	f.cluster.VMList().Set(vms...)
}

func (f *fleet) start(m *testNode, callers, peers net.Listener) {
	f.tb.Helper()
	config := anvilnode.Config{
		Name:           m.listed.Name,
		Site:           "port",
		Slot:           m.slot,
		FailureDomain:  m.listed.FailureDomain,
		CallerAddress:  m.listed.CallerAddress,
		PeerAddress:    m.listed.PeerAddress,
		CallerListener: callers,
		PeerListener:   peers,
		ConfigService:  f.cluster.Config().Address(),
		VMList:         f.cluster.VMList().Address(),
		PollInterval:   100 * time.Millisecond,
		Seed:           uint64(len(f.nodes)),
		Log:            zerolog.New(m.log),
		DialPeer:       f.network.dialer(m),
	}
	if f.change != nil {
		f.change(&config)
	}
	node, err := anvilnode.New(config)
	if err != nil {
		f.tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.Node = node
	m.kill = cancel
	m.ended = make(chan struct{})
	go func() {
		defer close(m.ended)
		m.err = node.Run(ctx)
	}()
}

// kill ends the process of a node at once and waits for its end.
func (f *fleet) kill(m *testNode) {
	m.kill()
	<-m.ended
}

func (f *fleet) stop() {
	for _, m := range f.nodes {
		if m.Node != nil {
			f.kill(m)
		}
	}
	f.cluster.Shutdown()
}

// awaitWhole waits until each of the nodes answers every service with whole
// coverage, a few times in a row: the leafs are warm then.
func (f *fleet) awaitWhole(nodes ...*testNode) {
	f.tb.Helper()
	for _, m := range nodes {
		for _, q := range []query{{service: lots, class: "broad"}, {service: archive, class: "patient"}, {service: certify, class: "look"}} {
			whole := 0
			eventually(f.tb, fmt.Sprintf("whole answers of %s by %s", q.service, m.listed.Name), func() bool {
				r := f.send(m, q)
				if r.answer != nil && len(r.answer.Coverage.Missing) == 0 {
					whole++
				} else {
					whole = 0
				}
				return whole == 10
			})
		}
	}
}

// awaitRevision waits until a revision is in force at all running nodes.
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
