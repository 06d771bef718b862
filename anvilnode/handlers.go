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

// addressGracePeriod is added to the address lifetime before a node that is no longer
// named in address answers refuses queries, because an answer may have been sent just
// before.
const addressGracePeriod = time.Second

// maxBodyBytesBeforeConfig is the limit of a query body, in bytes, while no
// configuration is active.
const maxBodyBytesBeforeConfig = 1 << 20

// peerHandlers returns the handlers of the server for other nodes.
func (n *Node) peerHandlers() anvilpeer.Handlers {
	return anvilpeer.Handlers{
		Incarnation: n.incarnation,
		Submit:      n.acceptCall,
		Cancel:      n.cancelCall,
		Probe:       n.prober.HandleProbe,
		Announce:    n.handleAnnounce,
		Manifest: func(version uint64) anvilrevision.Manifest {
			n.controlLock.Lock()
			defer n.controlLock.Unlock()
			return n.revisions.Manifest(version)
		},
		Chunk: func(hash anvilrevision.ChunkHash) []byte {
			n.controlLock.Lock()
			defer n.controlLock.Unlock()
			return n.revisions.Chunk(hash)
		},
		Outcome: n.handleOutcome,
		LeafStates: func(after uint64) ([]anvilmodel.LeafState, uint64) {
			return n.states.ChangesSince(after, time.Now())
		},
	}
}

// serverConfig returns the configuration of the HTTP server.
func (n *Node) serverConfig() anvilserver.Config {
	return anvilserver.Config{
		Admit:           n.admitQuery,
		AdjustRefusal:   n.adjustRefusal,
		FindOutcome:     n.ticketOutcome,
		ChooseAddresses: n.chooseAddresses,
		EncodeStatus:    n.encodeStatus,
		NotReadyReason:  n.unavailableReason,
		Leaving:         n.leaving.Load,
		MaxBodyBytes:    n.maxBodyBytes,
		ObserveQuery:    n.observeQuery,
		Metrics:         n.metrics.Handler(),
		Log:             n.config.Log,
	}
}

// unavailableReason returns why callers should use another node, or "". A node that is
// shutting down still serves for a while.
func (n *Node) unavailableReason() string {
	if n.leaving.Load() {
		return "the node is shutting down"
	}
	return n.notReadyReason()
}

func (n *Node) maxBodyBytes() int {
	if active := n.activeConfig.Load(); active != nil {
		// Larger bodies cannot be relayed to other nodes.
		return min(active.settings.Limits.MaxBodyBytes, anvilpeer.MaxBodyBytes)
	}
	return maxBodyBytesBeforeConfig
}

// chooseAddresses answers a caller that asks which nodes to use.
func (n *Node) chooseAddresses(domain anvilmodel.FailureDomain) anvilwire.AddressList {
	members := n.memberView.Load()
	self := members.self
	self.Load = n.admission.utilization()
	self.Serving = n.unavailableReason() == ""
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
	if active := n.activeConfig.Load(); active != nil {
		input.ExcludedDomains = active.domainsOut
		input.Lifetime = active.settings.Policy.AddressLifetime
	}
	n.localSharesLock.Lock()
	input.LocalShares = n.localShares
	choice := anviladdress.Choose(input)
	n.localSharesLock.Unlock()
	answer := anvilwire.AddressList{
		Lifetime: choice.Lifetime,
	}
	for _, a := range choice.Addresses {
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
	class := n.classLabel(r.Query.Class)
	n.metrics.Add(anvilmetric.Queries, 1, class, r.Outcome())
	n.metrics.ObserveDuration(anvilmetric.QueryDuration, r.Duration, class)
	if r.Answer != nil {
		n.metrics.ObserveRatio(anvilmetric.QueryCoverage, r.Answer.Coverage.Ratio(), class)
	}
}

// classLabel returns a class name for use as a metric label. Callers may send any name,
// so undeclared classes share one label to bound the number of label values.
func (n *Node) classLabel(name anvilmodel.ClassName) string {
	if active := n.activeConfig.Load(); active != nil {
		if _, ok := active.settings.Class(name); ok {
			return string(name)
		}
	}
	return "unknown"
}

func (n *Node) countPeerRequest(kind string, bytes int) {
	n.metrics.Add(anvilmetric.PeerControlMessages, 1, kind)
	n.metrics.Add(anvilmetric.PeerControlBytes, int64(bytes), kind)
}
