package anvilnode

import (
	"math/rand/v2"
	"time"

	"anvilbridge/anviladdress"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilpeer"
	"anvilbridge/anvilrevision"
	"anvilbridge/anvilserver"
	"anvilbridge/anvilwire"
)

// addressGrace is added to the address lifetime before a node that is no longer
// named refuses queries: an answer may have been sent just before.
const addressGrace = time.Second

// bodyLimitBeforeConfig bounds a query body while no configuration is in force, in
// bytes.
const bodyLimitBeforeConfig = 1 << 20

// peerHandlers joins the node-to-node server to the node.
func (n *Node) peerHandlers() anvilpeer.Handlers {
	return anvilpeer.Handlers{
		Incarnation: n.incarnation,
		Submit:      n.acceptCall,
		Cancel:      n.cancelCall,
		Probe:       n.prober.Answer,
		Announce:    n.answerAnnounce,
		Manifest: func(version uint64) anvilrevision.Manifest {
			n.control.Lock()
			defer n.control.Unlock()
			return n.keeper.Manifest(version)
		},
		Chunk: func(h anvilrevision.ChunkHash) []byte {
			n.control.Lock()
			defer n.control.Unlock()
			return n.keeper.Chunk(h)
		},
		Outcome: n.answerOutcome,
		LeafStates: func(after uint64) ([]anvilmodel.LeafState, uint64) {
			return n.states.After(after, time.Now())
		},
	}
}

// serverConfig joins the HTTP server to the node.
func (n *Node) serverConfig() anvilserver.Config {
	return anvilserver.Config{
		Admit:        n.admitQuery,
		Refuse:       n.refuseTicket,
		Outcome:      n.outcome,
		Addresses:    n.addresses,
		Status:       n.encodeStatus,
		Ready:        n.readiness,
		Leaving:      n.leaving.Load,
		MaxBodyBytes: n.maxBodyBytes,
		Observe:      n.observeQuery,
		Metrics:      n.metrics.Handler(),
		Log:          n.config.Log,
	}
}

// readiness returns why a caller should use another node, or "".
func (n *Node) readiness() string {
	if n.leaving.Load() {
		return "the node is shutting down"
	}
	return n.notReady()
}

func (n *Node) maxBodyBytes() int {
	if v := n.view.Load(); v != nil {
		// A larger body could not be relayed to another node.
		return min(v.settings.Limits.MaxBodyBytes, anvilpeer.MaxBodyBytes)
	}
	return bodyLimitBeforeConfig
}

// addresses answers a caller that asks which nodes to use.
func (n *Node) addresses(domain anvilmodel.FailureDomain) anvilwire.AddressList {
	members := n.memberView.Load()
	self := members.self
	self.Load = n.admission.load()
	self.Serving = n.readiness() == ""
	if n.leaving.Load() {
		self.Status = anvilmodel.MemberLeaving
	}
	input := anviladdress.Input{
		Members:      members.all,
		Self:         self,
		CallerDomain: domain,
		// rand.Uint64 is safe for concurrent use, a shared source is not.
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if v := n.view.Load(); v != nil {
		input.ExcludedDomains = v.out
		input.Lifetime = v.settings.Policy.AddressLifetime
	}
	n.addressLock.Lock()
	input.LocalShares = n.shares
	chosen := anviladdress.Choose(input)
	n.addressLock.Unlock()
	answer := anvilwire.AddressList{
		Lifetime: chosen.Lifetime,
	}
	for _, a := range chosen.Addresses {
		answer.Members = append(answer.Members, anvilmodel.Member{
			Name:          a.Name,
			CallerAddress: a.CallerAddress,
			Incarnation:   a.Incarnation,
			TicketEpoch:   a.TicketEpoch,
			FailureDomain: a.FailureDomain,
		})
	}
	return answer
}

func (n *Node) observeQuery(r anvilserver.QueryResult) {
	class := n.knownClass(r.Query.Class)
	n.metrics.Add(anvilmetric.Queries, 1, class, r.Outcome())
	n.metrics.ObserveDuration(anvilmetric.QueryDuration, r.Took, class)
	if r.Answer != nil {
		n.metrics.ObserveRatio(anvilmetric.QueryCoverage, r.Answer.Coverage.Ratio(), class)
	}
}

// knownClass bounds the label values: callers may send any class name.
func (n *Node) knownClass(name anvilmodel.ClassName) string {
	if v := n.view.Load(); v != nil {
		if _, ok := v.settings.Class(name); ok {
			return string(name)
		}
	}
	return "unknown"
}

func (n *Node) countPeerMessage(kind string, bytes int) {
	n.metrics.Add(anvilmetric.PeerControlMessages, 1, kind)
	n.metrics.Add(anvilmetric.PeerControlBytes, int64(bytes), kind)
}
