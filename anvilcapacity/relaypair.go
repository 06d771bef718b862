package anvilcapacity

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
)

var errNoReply = errors.New("a relayed call got no reply in time")

// relayPair is a relay stream between two nodes in this process.
type relayPair struct {
	wire   wireCounter
	server *peerServer
	client *anvilpeer.RelayClient
	// gate holds the first connection back until it is closed.
	gate    chan struct{}
	replies chan struct{}
	body    []byte
	// pending holds the replies that the other node has not sent yet.
	mu      sync.Mutex
	pending []func()
	hold    bool
	attempt int
}

func newRelayPair(replyBytes int) (*relayPair, error) {
	p := &relayPair{
		gate:    make(chan struct{}),
		replies: make(chan struct{}, 1024),
		body:    make([]byte, replyBytes),
	}
	server, err := startPeerServer(anvilpeer.Handlers{
		Submit: p.submit,
	})
	if err != nil {
		return nil, err
	}
	p.server = server
	p.client = anvilpeer.NewRelayClient(anvilpeer.RelayConfig{
		Address: server.address,
		Deliver: func(r anvilmodel.CallReply) {
			if r.Result == anvilmodel.CallOK {
				p.replies <- struct{}{}
			}
		},
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			<-p.gate
			return p.wire.dial(ctx, address)
		},
	})
	return p, nil
}

func (p *relayPair) close() {
	p.client.Close()
	p.server.close()
}

// submit answers a call at once, or when release is called.
func (p *relayPair) submit(call anvilmodel.Call, reply func(anvilmodel.CallReply)) {
	answer := func() { reply(designReply(call, p.body)) }
	p.mu.Lock()
	hold := p.hold
	if hold {
		p.pending = append(p.pending, answer)
	}
	p.mu.Unlock()
	if !hold {
		answer()
	}
}

// release sends the reply to one held call.
func (p *relayPair) release() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) == 0 {
		return false
	}
	p.pending[0]()
	p.pending = p.pending[1:]
	return true
}

func (p *relayPair) send(count, body int) {
	for range count {
		p.attempt++
		p.client.Enqueue(peerIncarnation, designCall(p.attempt, body))
	}
	p.client.Flush()
}

func (p *relayPair) await(count int) error {
	timeout := time.NewTimer(peerTimeout)
	defer timeout.Stop()
	for range count {
		select {
		case <-p.replies:
		case <-timeout.C:
			return errNoReply
		}
	}
	return nil
}
