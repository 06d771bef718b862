package anvilpeer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
	"anvilbridge/anvilrevision"
)

const (
	// idleConnections bounds the idle connections to one node.
	idleConnections = 2
	// idleTotal bounds all idle connections; at 410 nodes a node keeps
	// connections to those that it probed last.
	idleTotal = 64
	// idleExpiration closes connections before a middlebox forgets them.
	idleExpiration = 30 * time.Second
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Dial opens a connection; nil means TCP.
	Dial DialFunc
	// OnRequestSent receives the kind and encoded size of every control message; it may
	// be nil.
	OnRequestSent func(kind string, bytes int)
}

// Client asks other nodes. It is safe for concurrent use.
type Client struct {
	pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	dial DialFunc
	sent func(kind string, bytes int)

	decompressor *decompressor
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	sent := c.OnRequestSent
	if sent == nil {
		sent = func(string, int) {}
	}
	return &Client{
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleExpiration,
			Capacity:    idleTotal,
			KeyCapacity: idleConnections,
		}),
		dial: dial,
		sent: sent,

		decompressor: newDecompressor(),
	}
}

// Close closes all connections.
func (c *Client) Close() error {
	return c.pool.Close()
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// peer returns a client over a pooled connection. The pool dials when none is
// idle and drops connections on which a call failed.
func (c *Client) peer(ctx context.Context, address netip.AddrPort) anvilproto.DRPCPeerClient {
	return anvilproto.NewDRPCPeerClient(c.connection(ctx, address))
}

func (c *Client) connection(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.pool.Get(ctx, address, func(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
		conn, err := c.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.NewWithOptions(conn, drpcconn.Options{
			Manager: managerOptions(),
		}), nil
	})
}

func (c *Client) count(kind string, message proto.Message) {
	c.sent(kind, proto.Size(message))
}

// Probe sends a probe. It returns Unreachable.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort, q anvilmember.ProbeRequest) (anvilmember.ProbeReply, error) {
	request := encodeProbe(q)
	c.count("probe", request)
	reply, err := c.peer(ctx, address).Probe(ctx, request)
	if err != nil {
		return anvilmember.ProbeReply{}, Unreachable.Wrap(err, "probing %s", address)
	}
	return decodeProbeReply(reply), nil
}

// Announce exchanges states with a node: it tells the state here and returns the
// one there. It returns Unreachable.
func (c *Client) Announce(ctx context.Context, address netip.AddrPort, from anvilmember.MemberUpdate, s anvilrevision.State) (anvilrevision.State, error) {
	request := &anvilproto.AnnounceRequest{
		From:          encodeItem(from),
		Revision:      s.Active.Version,
		Digest:        encodeDigest(s.Active),
		Refused:       s.Refused.Version,
		RefusedDigest: encodeDigest(s.Refused),
		Serving:       s.Serving,
	}
	c.count("announce", request)
	reply, err := c.peer(ctx, address).Announce(ctx, request)
	if err != nil {
		return anvilrevision.State{}, Unreachable.Wrap(err, "announcing revision %d to %s", s.Active.Version, address)
	}
	return decodeState(reply), nil
}

// Manifest asks a node for the manifest of a version; the node returns that of
// its revision in force if it has no other. It returns Unreachable or Malformed.
func (c *Client) Manifest(ctx context.Context, address netip.AddrPort, version uint64) (anvilrevision.Manifest, error) {
	request := &anvilproto.FetchRequest{
		Revision: version,
	}
	c.count("fetch", request)
	reply, err := c.peer(ctx, address).Fetch(ctx, request)
	if err != nil {
		return anvilrevision.Manifest{}, Unreachable.Wrap(err, "fetching the manifest from %s", address)
	}
	manifest, ok := decodeManifest(reply)
	if !ok {
		return manifest, Malformed.New("the manifest from %s has a hash of the wrong length", address)
	}
	return manifest, nil
}

// Chunks asks for chunks; those that the node lacks are left out. It returns
// Unreachable.
func (c *Client) Chunks(ctx context.Context, address netip.AddrPort, version uint64, hashes []anvilrevision.ChunkHash) ([][]byte, error) {
	request := &anvilproto.FetchRequest{
		Revision: version,
		Chunks:   encodeHashes(hashes),
	}
	c.count("fetch", request)
	reply, err := c.peer(ctx, address).Fetch(ctx, request)
	if err != nil {
		return nil, Unreachable.Wrap(err, "fetching %d chunks from %s", len(hashes), address)
	}
	return reply.GetContents(), nil
}

// Outcome asks what became of a ticket. It returns Unreachable.
func (c *Client) Outcome(ctx context.Context, address netip.AddrPort, ticket anvilmodel.Ticket) (TicketOutcome, error) {
	request := &anvilproto.OutcomeRequest{
		Ticket: encodeTicket(ticket),
	}
	c.count("outcome", request)
	reply, err := c.peer(ctx, address).Outcome(ctx, request)
	if err != nil {
		return TicketOutcome{}, Unreachable.Wrap(err, "asking %s for the outcome of a ticket", address)
	}
	return TicketOutcome{
		State:  reply.GetState(),
		Answer: reply.GetAnswer(),
	}, nil
}

// LeafStates asks for the leaf states that changed after a version. It returns
// Unreachable.
func (c *Client) LeafStates(ctx context.Context, address netip.AddrPort, after uint64) ([]anvilmodel.LeafState, uint64, error) {
	request := &anvilproto.LeafStatesRequest{
		After: after,
	}
	c.count("leaf-states", request)
	reply, err := c.peer(ctx, address).LeafStates(ctx, request)
	if err != nil {
		return nil, 0, Unreachable.Wrap(err, "asking %s for leaf states", address)
	}
	states := make([]anvilmodel.LeafState, 0, len(reply.GetStates()))
	for _, state := range reply.GetStates() {
		states = append(states, decodeLeafState(state))
	}
	return states, reply.GetVersion(), nil
}

// Published asks for a node's copy of a prefix of the platform's store, as far as
// it is missing here, and waits for a change. It returns Unreachable or Malformed.
func (c *Client) Published(ctx context.Context, address netip.AddrPort, q PublishedRequest) (PublishedReply, error) {
	request := encodePublishedQuestion(q)
	c.count("published", request)
	reply, err := c.peer(ctx, address).Published(ctx, request)
	if err != nil {
		return PublishedReply{}, Unreachable.Wrap(err, "reading the published items at %s", address)
	}
	p, err := decodePublished(reply, c.decompressor)
	p.After = q.After
	return p, err
}
