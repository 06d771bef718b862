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
	// maxMessageBytes bounds one message; a larger one closes the connection on which
	// it arrives. It leaves room for the chunks of several documents of 1 MB.
	maxMessageBytes = 16 << 20
	// MaxBodyBytes bounds the body of a relayed call. The rest of the message is for
	// names, which have at most 128 bytes each.
	MaxBodyBytes = maxMessageBytes - 64<<10
	// maxRetainedBufferBytes bounds the buffer that a stream keeps between messages, so
	// that one large message does not occupy memory for the life of the stream.
	maxRetainedBufferBytes = 256 << 10
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilpeer")

var (
	// Unreachable means that the other node did not reply in time, or replied with an
	// error.
	Unreachable = Errors.NewType("unreachable", errorx.Timeout())
	// Malformed means that a message from the other node cannot be decoded.
	Malformed = Errors.NewType("malformed")
	// Refused means that this node does not serve the request.
	Refused = Errors.NewType("refused")
)

// TicketOutcome is the state of the call with a ticket, as known to one node.
type TicketOutcome struct {
	// State is one of "unknown", "running", "not-run" and "run".
	State string
	// Answer is the recorded answer in the encoding that is sent to callers.
	Answer []byte
}

// Handlers holds the functions that a Server calls. They must be safe for concurrent
// use. A gateway sets only Probe and Published; requests whose handler is nil are
// refused.
type Handlers struct {
	// Incarnation returns this node's incarnation.
	Incarnation func() anvilmodel.Incarnation
	// Submit accepts a leaf call; reply is called once and must not block.
	Submit func(call anvilmodel.Call, reply func(anvilmodel.CallReply))
	// Cancel cancels a submitted call; it does nothing if the call has been answered.
	Cancel func(id anvilmodel.CallID)
	// Probe returns false if the node cannot reply.
	Probe func(ctx context.Context, request anvilmember.ProbeRequest) (anvilmember.ProbeReply, bool)
	// Announce handles the configuration state of another node and returns the local
	// one.
	Announce func(from anvilmember.MemberUpdate, state anvilrevision.State) anvilrevision.State
	// Manifest returns the manifest of a version, or that of the active revision if the
	// version is not available.
	Manifest func(version uint64) anvilrevision.Manifest
	// Chunk returns nil for a chunk that is not available.
	Chunk func(anvilrevision.ChunkHash) []byte
	// Outcome returns the state of the call with a ticket.
	Outcome func(anvilmodel.Ticket) TicketOutcome
	// LeafStates returns the states that changed after a version, and the current
	// version.
	LeafStates func(after uint64) ([]anvilmodel.LeafState, uint64)
	// Published returns the changes to a prefix of the platform's store that another
	// node is missing. It waits for a change if there is none.
	Published func(ctx context.Context, request PublishedRequest) PublishedReply
}

// Server serves the requests and relay streams of other nodes.
type Server struct {
	anvilproto.DRPCPeerUnimplementedServer
	handlers Handlers
	server   *drpcserver.Server
	// compressor compresses the published items that other nodes request.
	compressor *compressor

	// openStreams counts the relay streams, and receivers the goroutines that receive
	// from them.
	openStreams atomic.Int64
	receivers   sync.WaitGroup
	draining    chan struct{}
	drainOnce   sync.Once
}

// NewServer returns a Server that does not serve until Serve is called.
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
			MaximumBufferSize: maxRetainedBufferBytes,
		},
	}
}

// Serve serves connections from the listener until the context ends or accepting a
// connection fails. It returns when all handlers have ended.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer s.receivers.Wait()
	return s.server.Serve(ctx, listener)
}

// Probe implements anvilproto.DRPCPeerServer.
func (s *Server) Probe(ctx context.Context, request *anvilproto.ProbeRequest) (*anvilproto.ProbeReply, error) {
	reply, ok := s.handlers.Probe(ctx, decodeProbe(request))
	if !ok {
		return nil, Refused.New("this node cannot answer a probe now")
	}
	return encodeProbeReply(reply), nil
}

// Announce implements anvilproto.DRPCPeerServer.
func (s *Server) Announce(_ context.Context, request *anvilproto.AnnounceRequest) (*anvilproto.AnnounceReply, error) {
	if s.handlers.Announce == nil {
		return nil, errNoHandler()
	}
	state := s.handlers.Announce(decodeMember(request.GetFrom()), decodeState(request))
	return &anvilproto.AnnounceReply{
		Revision:      state.Active.Version,
		Digest:        encodeDigest(state.Active),
		Refused:       state.Refused.Version,
		RefusedDigest: encodeDigest(state.Refused),
		Serving:       state.Serving,
	}, nil
}

// Fetch implements anvilproto.DRPCPeerServer.
func (s *Server) Fetch(_ context.Context, request *anvilproto.FetchRequest) (*anvilproto.FetchReply, error) {
	if s.handlers.Manifest == nil || s.handlers.Chunk == nil {
		return nil, errNoHandler()
	}
	if len(request.GetChunks()) == 0 {
		return encodeManifest(s.handlers.Manifest(request.GetRevision())), nil
	}
	hashes, ok := decodeHashes(request.GetChunks())
	if !ok {
		return nil, Malformed.New("a chunk hash has the wrong length")
	}
	reply := &anvilproto.FetchReply{
		Revision: request.GetRevision(),
		Contents: make([][]byte, 0, len(hashes)),
	}
	for _, h := range hashes {
		if chunk := s.handlers.Chunk(h); chunk != nil {
			reply.Contents = append(reply.Contents, chunk)
		}
	}
	return reply, nil
}

// Outcome implements anvilproto.DRPCPeerServer.
func (s *Server) Outcome(_ context.Context, request *anvilproto.OutcomeRequest) (*anvilproto.OutcomeReply, error) {
	if s.handlers.Outcome == nil {
		return nil, errNoHandler()
	}
	outcome := s.handlers.Outcome(decodeTicket(request.GetTicket()))
	return &anvilproto.OutcomeReply{
		State:  outcome.State,
		Answer: outcome.Answer,
	}, nil
}

// LeafStates implements anvilproto.DRPCPeerServer.
func (s *Server) LeafStates(_ context.Context, request *anvilproto.LeafStatesRequest) (*anvilproto.LeafStatesReply, error) {
	if s.handlers.LeafStates == nil {
		return nil, errNoHandler()
	}
	states, version := s.handlers.LeafStates(request.GetAfter())
	reply := &anvilproto.LeafStatesReply{
		Version: version,
		States:  make([]*anvilproto.LeafState, 0, len(states)),
	}
	for _, state := range states {
		reply.States = append(reply.States, encodeLeafState(state))
	}
	return reply, nil
}

// Published implements anvilproto.DRPCPeerServer.
func (s *Server) Published(ctx context.Context, request *anvilproto.PublishedRequest) (*anvilproto.PublishedReply, error) {
	if s.handlers.Published == nil {
		return nil, errNoHandler()
	}
	return encodePublishedReply(s.handlers.Published(ctx, decodePublishedRequest(request)), s.compressor), nil
}

// errNoHandler returns the error for a request without a handler.
func errNoHandler() error {
	return Refused.New("this node does not serve the call")
}
