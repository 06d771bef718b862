package anvilcapacity

import (
	"context"
	"net"
	"net/netip"
	"time"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilpeer"
)

// peerTimeout bounds one exchange of a measurement.
const peerTimeout = 10 * time.Second

// freshAddresses lets a client dial anew for each exchange. A node at the
// design size does so too: it probes 409 members in turn and keeps at most 64 idle
// connections (anvilpeer/client.go).
type freshAddresses struct {
	server netip.AddrPort
	next   int
}

// address returns an address that was not used before. Only the server's is real.
func (f *freshAddresses) address() netip.AddrPort {
	f.next++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 99, byte(f.next >> 8), byte(f.next)}), 7001)
}

func (f *freshAddresses) dialer(w *wireCounter) anvilpeer.DialFunc {
	return func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		return w.dial(ctx, f.server)
	}
}

// measurePeer measures control exchanges between nodes over drpc.
func measurePeer(ctx context.Context, _ uint64) ([]Slope, error) {
	server, err := startPeerServer(anvilpeer.Handlers{
		Probe: func(_ context.Context, q anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool) {
			return anvilmember.ProbeReply{
				From:    q.From,
				Updates: q.Updates,
			}, true
		},
	})
	if err != nil {
		return nil, err
	}
	defer server.close()
	return measureProbes(ctx, server.address)
}

// probeOf returns a probe with news.
func probeOf(items int) anvilmember.ProbeRequest {
	q := anvilmember.ProbeRequest{}
	for i, m := range designMembers(items + 1) {
		item := anvilmember.MemberUpdate{
			Member:  m,
			Version: 1_000_000,
		}
		if i == 0 {
			q.From = item
			continue
		}
		// News of listed members leave the place out.
		item.Member.FailureDomain = ""
		item.Member.CallerAddress = netip.AddrPort{}
		item.Member.PeerAddress = netip.AddrPort{}
		q.Updates = append(q.Updates, item)
	}
	return q
}

func measureProbes(ctx context.Context, server netip.AddrPort) ([]Slope, error) {
	items := []int{0, 3, 6, 8}
	bytes := Slope{
		Name:     "peer-probe-bytes",
		What:     "probe and reply on a fresh connection, both directions together, without TCP and IP headers",
		Kind:     KindCount,
		Unit:     "bytes",
		SizeName: "encoded bytes of probe and reply",
		Targets: []Target{
			{What: "probes and replies sent, 2 exchanges a second of 1,150 bytes", Size: 1150, Factor: 2, Unit: "bytes/s", Limit: designBytes, Budget: BudgetControlSent},
			{What: "the same received", Size: 1150, Factor: 2, Unit: "bytes/s", Limit: designBytes, Budget: BudgetControlReceived},
		},
	}
	for _, n := range items {
		q := probeOf(n)
		reply := anvilmember.ProbeReply{
			From:    q.From,
			Updates: q.Updates,
		}
		w := &wireCounter{}
		if err := exchange(ctx, w, server, false, 1, func(ctx context.Context, c *anvilpeer.Client, to netip.AddrPort) error {
			_, err := c.Probe(ctx, to, q)
			return err
		}); err != nil {
			return nil, err
		}
		bytes.Sizes = append(bytes.Sizes, float64(anvilmember.RequestSize(q)+anvilmember.ReplySize(reply)))
		bytes.Values = append(bytes.Values, w.bytes())
	}
	exchanges := sizeList{name: "exchanges", list: []int{100, 200, 400}}
	cpu := exchanges.slope("peer-probe-cpu", "probes with 8 items and their replies, both nodes, each on a fresh connection", KindCPU, "s",
		Target{What: "2 probes sent and 2 answered a second", Size: 2, Rate: true, Unit: "cores", Limit: designCPU, Budget: BudgetControlCPU})
	for _, n := range exchanges.list {
		used, err := exchangeCPU(ctx, server, false, n, func(ctx context.Context, c *anvilpeer.Client, to netip.AddrPort) error {
			_, err := c.Probe(ctx, to, probeOf(8))
			return err
		})
		if err != nil {
			return nil, err
		}
		cpu.Values = append(cpu.Values, used)
	}
	return []Slope{bytes, cpu}, nil
}

// exchange runs exchanges, on a kept connection or each on a fresh one.
func exchange(ctx context.Context, w *wireCounter, server netip.AddrPort, kept bool, count int, one exchangeFunc) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	fresh := freshAddresses{
		server: server,
	}
	client := anvilpeer.NewClient(anvilpeer.ClientConfig{
		Dial: fresh.dialer(w),
	})
	defer func() { _ = client.Close() }()
	for range count {
		to := server
		if !kept {
			to = fresh.address()
		}
		if err := one(ctx, client, to); err != nil {
			return err
		}
	}
	return nil
}

// exchangeFunc runs one exchange.
type exchangeFunc func(ctx context.Context, c *anvilpeer.Client, to netip.AddrPort) error

// exchangeCPU returns the CPU time of so many exchanges, both nodes, in seconds.
func exchangeCPU(ctx context.Context, server netip.AddrPort, kept bool, count int, one exchangeFunc) (float64, error) {
	var err error
	cpu := leastCPU(func() {
		if err == nil {
			err = exchange(ctx, &wireCounter{}, server, kept, count, one)
		}
	})
	return cpu, err
}
