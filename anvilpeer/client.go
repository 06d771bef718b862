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
	// maxIdlePerNode is the maximum number of idle connections to one node.
	maxIdlePerNode = 2
	// maxIdleTotal is the maximum number of idle connections in all. With 410 nodes,
	// connections are kept only to the nodes that were probed last.
	maxIdleTotal = 64
	// idleTimeout is shorter than the time after which middleboxes drop idle
	// connections without notice.
	idleTimeout = 30 * time.Second
)

// ClientConfig holds the settings of a Client.
type ClientConfig struct {
	// Dial opens a connection; nil means TCP.
	Dial DialFunc
	// OnRequestSent is called with the kind and the encoded size of every request; it
	// may be nil.
	OnRequestSent func(kind string, bytes int)
}

// Client sends control requests to other nodes. It is safe for concurrent use.
type Client struct {
	pool          *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
	dial          DialFunc
	onRequestSent func(kind string, bytes int)

	decompressor *decompressor
}

// NewClient returns a Client that connects when it is first used. It must be closed by
// Close.
func NewClient(c ClientConfig) *Client {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	onRequestSent := c.OnRequestSent
	if onRequestSent == nil {
		onRequestSent = func(string, int) {}
	}
	return &Client{
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdleTotal,
			KeyCapacity: maxIdlePerNode,
		}),
		dial:          dial,
		onRequestSent: onRequestSent,

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

// peer returns an RPC client over a pooled connection. The pool dials if no connection
// is idle, and closes connections on which a call failed.
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

func (c *Client) reportSent(kind string, message proto.Message) {
	c.onRequestSent(kind, proto.Size(message))
}

// Probe sends a membership probe. It returns Unreachable.
func (c *Client) Probe(ctx context.Context, address netip.AddrPort, request anvilmember.ProbeRequest) (anvilmember.ProbeReply, error) {
	encoded := encodeProbe(request)
	c.reportSent("probe", encoded)
	reply, err := c.peer(ctx, address).Probe(ctx, encoded)
	if err != nil {
		return anvilmember.ProbeReply{}, Unreachable.Wrap(err, "probing %s", address)
	}
	return decodeProbeReply(reply), nil
}

// Announce sends the local configuration state to a node and returns the state of that
// node. It returns Unreachable.
func (c *Client) Announce(ctx context.Context, address netip.AddrPort, from anvilmember.MemberUpdate, state anvilrevision.State) (anvilrevision.State, error) {
	request := &anvilproto.AnnounceRequest{
		From:          encodeMember(from),
		Revision:      state.Active.Version,
		Digest:        encodeDigest(state.Active),
		Refused:       state.Refused.Version,
		RefusedDigest: encodeDigest(state.Refused),
		Serving:       state.Serving,
	}
	c.reportSent("announce", request)
	reply, err := c.peer(ctx, address).Announce(ctx, request)
	if err != nil {
		return anvilrevision.State{}, Unreachable.Wrap(err, "announcing revision %d to %s", state.Active.Version, address)
	}
	return decodeState(reply), nil
}

// Manifest requests the manifest of a version. A node that does not have it returns
// the manifest of its active revision. It returns Unreachable or Malformed.
func (c *Client) Manifest(ctx context.Context, address netip.AddrPort, version uint64) (anvilrevision.Manifest, error) {
	request := &anvilproto.FetchRequest{
		Revision: version,
	}
	c.reportSent("fetch", request)
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

// Chunks requests chunks by hash; those that the node does not have are left out. It
// returns Unreachable.
func (c *Client) Chunks(ctx context.Context, address netip.AddrPort, version uint64, hashes []anvilrevision.ChunkHash) ([][]byte, error) {
	request := &anvilproto.FetchRequest{
		Revision: version,
		Chunks:   encodeHashes(hashes),
	}
	c.reportSent("fetch", request)
	reply, err := c.peer(ctx, address).Fetch(ctx, request)
	if err != nil {
		return nil, Unreachable.Wrap(err, "fetching %d chunks from %s", len(hashes), address)
	}
	return reply.GetContents(), nil
}

// Outcome requests the state of the call with a ticket. It returns Unreachable.
func (c *Client) Outcome(ctx context.Context, address netip.AddrPort, ticket anvilmodel.Ticket) (TicketOutcome, error) {
	request := &anvilproto.OutcomeRequest{
		Ticket: encodeTicket(ticket),
	}
	c.reportSent("outcome", request)
	reply, err := c.peer(ctx, address).Outcome(ctx, request)
	if err != nil {
		return TicketOutcome{}, Unreachable.Wrap(err, "requesting the outcome of a ticket from %s", address)
	}
	return TicketOutcome{
		State:  reply.GetState(),
		Answer: reply.GetAnswer(),
	}, nil
}

// LeafStates requests the leaf states that changed after a version, and returns them
// with the current version. It returns Unreachable.
func (c *Client) LeafStates(ctx context.Context, address netip.AddrPort, after uint64) ([]anvilmodel.LeafState, uint64, error) {
	request := &anvilproto.LeafStatesRequest{
		After: after,
	}
	c.reportSent("leaf-states", request)
	reply, err := c.peer(ctx, address).LeafStates(ctx, request)
	if err != nil {
		return nil, 0, Unreachable.Wrap(err, "requesting leaf states from %s", address)
	}
	states := make([]anvilmodel.LeafState, 0, len(reply.GetStates()))
	for _, state := range reply.GetStates() {
		states = append(states, decodeLeafState(state))
	}
	return states, reply.GetVersion(), nil
}

// Published requests the missing changes to a prefix of the platform's store from a
// node's copy; the node waits for a change if there is none. It returns Unreachable or
// Malformed.
func (c *Client) Published(ctx context.Context, address netip.AddrPort, request PublishedRequest) (PublishedReply, error) {
	encoded := encodePublishedRequest(request)
	c.reportSent("published", encoded)
	reply, err := c.peer(ctx, address).Published(ctx, encoded)
	if err != nil {
		return PublishedReply{}, Unreachable.Wrap(err, "requesting published items from %s", address)
	}
	published, err := decodePublishedReply(reply, c.decompressor)
	published.After = request.CompleteRevision
	return published, err
}
