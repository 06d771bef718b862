package anvilpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"anvilbridge/anvilmember"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilproto"
	"anvilbridge/anvilrevision"
)

const (
	// maxMessageBytes bounds one message; a larger one breaks the connection that
	// it arrives on. It holds the chunks of several documents of 1 MB.
	maxMessageBytes = 16 << 20
	// MaxBodyBytes bounds the body of a relayed call. The rest of a message is room
	// for names, which have at most 128 bytes each.
	MaxBodyBytes = maxMessageBytes - 64<<10
	// keptBufferBytes bounds the buffer that a stream keeps between messages, so
	// that one large message does not cost its size on every stream for good.
	keptBufferBytes = 256 << 10
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilpeer")

var (
	// Unreachable means that the other node did not answer in time.
	Unreachable = Errors.NewType("unreachable", errorx.Timeout())
	// Malformed means that the other node sent something that cannot be read.
	Malformed = Errors.NewType("malformed")
	// Refused means that this node has nothing to say to a request.
	Refused = Errors.NewType("refused")
)

// TicketOutcome is what a node knows of a ticket.
type TicketOutcome struct {
	// State is one of "unknown", "running", "not-run" and "run".
	State string
	// Answer is the recorded answer in its caller-facing encoding.
	Answer []byte
}

// Handlers are what a Server calls. They must be safe for concurrent use. A
// gateway sets Probe and Published only; calls whose handler is nil are refused.
type Handlers struct {
	// Incarnation returns this node's incarnation.
	Incarnation func() anvilmodel.Incarnation
	// Submit takes a leaf call over; reply is called once and must not block.
	Submit func(call anvilmodel.Call, reply func(anvilmodel.CallReply))
	// Cancel cancels a submitted call; one that has its reply is no error.
	Cancel func(id anvilmodel.CallID)
	// Probe returns false when the node cannot say anything.
	Probe func(ctx context.Context, q anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool)
	// Announce handles a peer's state and returns the one here.
	Announce func(from anvilmember.MemberUpdate, s anvilrevision.State) anvilrevision.State
	// Manifest returns the manifest of a version, or of the revision in force.
	Manifest func(version uint64) anvilrevision.Manifest
	// Chunk returns nil for a chunk that is not at hand.
	Chunk   func(anvilrevision.ChunkHash) []byte
	Outcome func(anvilmodel.Ticket) TicketOutcome
	// LeafStates returns the states that changed after a version, and the
	// version now.
	LeafStates func(after uint64) ([]anvilmodel.LeafState, uint64)
	// Published returns what a node misses of a prefix of the platform's store. It
	// waits for a change if there is none.
	Published func(ctx context.Context, q PublishedRequest) PublishedReply
}

// Server answers other nodes.
type Server struct {
	anvilproto.DRPCPeerUnimplementedServer
	handlers Handlers
	server   *drpcserver.Server
	// compressor is used for the copies that other nodes ask for.
	compressor *compressor

	// streams counts the relay streams, readers their reading goroutines.
	streams   atomic.Int64
	readers   sync.WaitGroup
	draining  chan struct{}
	drainOnce sync.Once
}

// NewServer returns a server that is not yet listening.
func NewServer(h Handlers) (*Server, error) {
	s := &Server{
		handlers:   h,
		compressor: newCompressor(),
		draining:   make(chan struct{}),
	}
	mux := drpcmux.New()
	if err := anvilproto.DRPCRegisterPeer(mux, s); err != nil {
		return nil, errorx.Decorate(err, "registering the peer service")
	}
	s.server = drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
	})
	return s, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: maxMessageBytes,
		},
		Stream: drpcstream.Options{
			MaximumBufferSize: keptBufferBytes,
		},
	}
}

// Serve answers on the listener until the context ends, or until it cannot
// accept connections any more, and returns when all handlers have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer s.readers.Wait()
	return s.server.Serve(ctx, listener)
}

// Probe implements the drpc service.
func (s *Server) Probe(ctx context.Context, q *anvilproto.ProbeRequest) (*anvilproto.ProbeReply, error) {
	reply, ok := s.handlers.Probe(ctx, decodeProbe(q))
	if !ok {
		return nil, Refused.New("this node cannot answer a probe now")
	}
	return encodeProbeReply(reply), nil
}

// Announce implements the drpc service.
func (s *Server) Announce(_ context.Context, q *anvilproto.AnnounceRequest) (*anvilproto.AnnounceReply, error) {
	if s.handlers.Announce == nil {
		return nil, errNoHandler()
	}
	state := s.handlers.Announce(decodeItem(q.GetFrom()), decodeState(q))
	return &anvilproto.AnnounceReply{
		Revision:      state.Active.Version,
		Digest:        encodeDigest(state.Active),
		Refused:       state.Refused.Version,
		RefusedDigest: encodeDigest(state.Refused),
		Serving:       state.Serving,
	}, nil
}

// Fetch implements the drpc service.
func (s *Server) Fetch(_ context.Context, q *anvilproto.FetchRequest) (*anvilproto.FetchReply, error) {
	if s.handlers.Manifest == nil || s.handlers.Chunk == nil {
		return nil, errNoHandler()
	}
	if len(q.GetChunks()) == 0 {
		return encodeManifest(s.handlers.Manifest(q.GetRevision())), nil
	}
	hashes, ok := decodeHashes(q.GetChunks())
	if !ok {
		return nil, Malformed.New("a chunk hash has the wrong length")
	}
	reply := &anvilproto.FetchReply{
		Revision: q.GetRevision(),
		Contents: make([][]byte, 0, len(hashes)),
	}
	for _, h := range hashes {
		if chunk := s.handlers.Chunk(h); chunk != nil {
			reply.Contents = append(reply.Contents, chunk)
		}
	}
	return reply, nil
}

// Outcome implements the drpc service.
func (s *Server) Outcome(_ context.Context, q *anvilproto.OutcomeRequest) (*anvilproto.OutcomeReply, error) {
	if s.handlers.Outcome == nil {
		return nil, errNoHandler()
	}
	outcome := s.handlers.Outcome(decodeTicket(q.GetTicket()))
	return &anvilproto.OutcomeReply{
		State:  outcome.State,
		Answer: outcome.Answer,
	}, nil
}

// LeafStates implements the drpc service.
func (s *Server) LeafStates(_ context.Context, q *anvilproto.LeafStatesRequest) (*anvilproto.LeafStatesReply, error) {
	if s.handlers.LeafStates == nil {
		return nil, errNoHandler()
	}
	states, version := s.handlers.LeafStates(q.GetAfter())
	reply := &anvilproto.LeafStatesReply{
		Version: version,
		States:  make([]*anvilproto.LeafState, 0, len(states)),
	}
	for _, state := range states {
		reply.States = append(reply.States, encodeLeafState(state))
	}
	return reply, nil
}

// Published implements the drpc service.
func (s *Server) Published(ctx context.Context, q *anvilproto.PublishedRequest) (*anvilproto.PublishedReply, error) {
	if s.handlers.Published == nil {
		return nil, errNoHandler()
	}
	return encodePublished(s.handlers.Published(ctx, decodePublishedQuestion(q)), s.compressor), nil
}

// errNoHandler refuses a call that this kind of node does not serve.
func errNoHandler() error {
	return Refused.New("this node does not serve the call")
}
