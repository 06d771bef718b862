package anvilwire

import (
	"encoding/json"
	"net/netip"
	"time"

	"anvilbridge/anvilaudit"
	"anvilbridge/anvilmodel"
)

// NodeStatus is the status of a node as shown to operators.
type NodeStatus struct {
	Name          anvilmodel.VMName
	Site          string
	Slot          anvilmodel.SlotName
	FailureDomain anvilmodel.FailureDomain
	Incarnation   anvilmodel.Incarnation
	Revision      uint64
	// NotReady is the reason why the node does not serve; it is empty if it does.
	NotReady string
	Leaving  bool
	// Isolated means that the node has recently heard from neither other nodes nor
	// the platform.
	Isolated        bool
	QueriesInFlight int
	QueryLimit      int
	FailureDomains  []FailureDomainStatus
	Members         []anvilmodel.Member
	Leaves          []LeafStatus
	Events          []anvilaudit.Event
}

// FailureDomainStatus is the configured state of a failure domain.
type FailureDomainStatus struct {
	Name  anvilmodel.FailureDomain
	State string
}

// LeafStatus is the state of a leaf and of the node's dispatcher for it.
type LeafStatus struct {
	Leaf          anvilmodel.LeafName
	Service       anvilmodel.ServiceName
	FailureDomain anvilmodel.FailureDomain
	// Rank is the node's position among the candidates that may dispatch calls to
	// the leaf; 0 is the primary candidate.
	Rank             int
	Incarnation      anvilmodel.Incarnation
	Cold             bool
	Draining         bool
	FailureDomainOut bool
	Breaker          string
	QueueLength      int
	InFlight         int
	Limit            int
	Connections      int
	// QuietRemaining is how much longer no calls are sent to a cold leaf.
	QuietRemaining time.Duration
	// SilentConnections counts the connections that were replaced because calls on
	// them timed out while another connection to the leaf answered.
	SilentConnections uint64
}

type statusBody struct {
	Name            string              `json:"name"`
	Site            string              `json:"site"`
	Slot            string              `json:"slot"`
	FailureDomain   string              `json:"failure-domain"`
	Incarnation     uint64              `json:"incarnation"`
	Revision        uint64              `json:"revision"`
	NotReady        string              `json:"not-ready,omitempty"`
	Leaving         bool                `json:"leaving"`
	Isolated        bool                `json:"isolated"`
	QueriesInFlight int                 `json:"queries-in-flight"`
	QueryLimit      int                 `json:"query-limit"`
	FailureDomains  []failureDomainBody `json:"failure-domains"`
	Members         []memberBody        `json:"members"`
	Leaves          []leafStatusBody    `json:"leafs"`
	Events          []eventBody         `json:"events"`
}

type failureDomainBody struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

type memberBody struct {
	Name          string  `json:"name"`
	Slot          string  `json:"slot"`
	FailureDomain string  `json:"failure-domain"`
	CallerAddress string  `json:"caller-address"`
	PeerAddress   string  `json:"peer-address"`
	Incarnation   uint64  `json:"incarnation"`
	Status        string  `json:"status"`
	Serving       bool    `json:"serving"`
	Load          float64 `json:"load"`
	Revision      uint64  `json:"revision"`
}

type leafStatusBody struct {
	Leaf              string `json:"leaf"`
	Service           string `json:"service"`
	FailureDomain     string `json:"failure-domain"`
	Rank              int    `json:"rank"`
	Incarnation       uint64 `json:"incarnation"`
	Cold              bool   `json:"cold"`
	Draining          bool   `json:"draining"`
	FailureDomainOut  bool   `json:"out"`
	Breaker           string `json:"breaker"`
	QueueLength       int    `json:"queue"`
	InFlight          int    `json:"in-flight"`
	Limit             int    `json:"limit"`
	Connections       int    `json:"connections"`
	QuietRemaining    string `json:"quiet"`
	SilentConnections uint64 `json:"silent-connections"`
}

type eventBody struct {
	Time     time.Time    `json:"time"`
	Kind     string       `json:"kind"`
	Subject  string       `json:"subject"`
	Cause    string       `json:"cause"`
	Revision uint64       `json:"revision"`
	Changes  []changeBody `json:"changes,omitempty"`
}

type changeBody struct {
	Path string `json:"path"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// EncodeStatus returns the JSON encoding of a status.
func EncodeStatus(s *NodeStatus) ([]byte, error) {
	body := statusBody{
		Name:            string(s.Name),
		Site:            s.Site,
		Slot:            string(s.Slot),
		FailureDomain:   string(s.FailureDomain),
		Incarnation:     uint64(s.Incarnation),
		Revision:        s.Revision,
		NotReady:        s.NotReady,
		Leaving:         s.Leaving,
		Isolated:        s.Isolated,
		QueriesInFlight: s.QueriesInFlight,
		QueryLimit:      s.QueryLimit,
		FailureDomains:  []failureDomainBody{},
		Members:         []memberBody{},
		Leaves:          []leafStatusBody{},
		Events:          []eventBody{},
	}
	for _, d := range s.FailureDomains {
		body.FailureDomains = append(body.FailureDomains, failureDomainBody{
			Name:  string(d.Name),
			State: d.State,
		})
	}
	for _, m := range s.Members {
		body.Members = append(body.Members, encodeMember(m))
	}
	for _, l := range s.Leaves {
		body.Leaves = append(body.Leaves, encodeLeafStatus(l))
	}
	for _, e := range s.Events {
		body.Events = append(body.Events, encodeEvent(e))
	}
	return json.Marshal(body)
}

func encodeMember(m anvilmodel.Member) memberBody {
	return memberBody{
		Name:          string(m.Name),
		Slot:          string(m.Slot),
		FailureDomain: string(m.FailureDomain),
		CallerAddress: m.CallerAddress.String(),
		PeerAddress:   m.PeerAddress.String(),
		Incarnation:   uint64(m.Incarnation),
		Status:        m.Status.String(),
		Serving:       m.Serving,
		Load:          m.Load,
		Revision:      m.ConfigRevision,
	}
}

func encodeLeafStatus(l LeafStatus) leafStatusBody {
	return leafStatusBody{
		Leaf:              string(l.Leaf),
		Service:           string(l.Service),
		FailureDomain:     string(l.FailureDomain),
		Rank:              l.Rank,
		Incarnation:       uint64(l.Incarnation),
		Cold:              l.Cold,
		Draining:          l.Draining,
		FailureDomainOut:  l.FailureDomainOut,
		Breaker:           l.Breaker,
		QueueLength:       l.QueueLength,
		InFlight:          l.InFlight,
		Limit:             l.Limit,
		Connections:       l.Connections,
		QuietRemaining:    l.QuietRemaining.String(),
		SilentConnections: l.SilentConnections,
	}
}

func encodeEvent(e anvilaudit.Event) eventBody {
	body := eventBody{
		Time:     e.Time,
		Kind:     string(e.Kind),
		Subject:  e.Subject,
		Cause:    e.Cause,
		Revision: e.Revision,
	}
	for _, c := range e.Changes {
		body.Changes = append(body.Changes, changeBody{
			Path: c.Path,
			Old:  c.Old,
			New:  c.New,
		})
	}
	return body
}

// DecodeStatus parses the JSON encoding of a status. Invalid input gives a
// Malformed error.
func DecodeStatus(data []byte) (NodeStatus, error) {
	var body statusBody
	if err := json.Unmarshal(data, &body); err != nil {
		return NodeStatus{}, Malformed.Wrap(err, "decode status")
	}
	s := NodeStatus{
		Name:            anvilmodel.VMName(body.Name),
		Site:            body.Site,
		Slot:            anvilmodel.SlotName(body.Slot),
		FailureDomain:   anvilmodel.FailureDomain(body.FailureDomain),
		Incarnation:     anvilmodel.Incarnation(body.Incarnation),
		Revision:        body.Revision,
		NotReady:        body.NotReady,
		Leaving:         body.Leaving,
		Isolated:        body.Isolated,
		QueriesInFlight: body.QueriesInFlight,
		QueryLimit:      body.QueryLimit,
	}
	for _, d := range body.FailureDomains {
		s.FailureDomains = append(s.FailureDomains, FailureDomainStatus{
			Name:  anvilmodel.FailureDomain(d.Name),
			State: d.State,
		})
	}
	for _, m := range body.Members {
		s.Members = append(s.Members, decodeMember(m))
	}
	for _, l := range body.Leaves {
		s.Leaves = append(s.Leaves, decodeLeafStatus(l))
	}
	for _, e := range body.Events {
		s.Events = append(s.Events, decodeEvent(e))
	}
	return s, nil
}

func decodeMember(m memberBody) anvilmodel.Member {
	// An invalid address becomes the zero address, so that the rest of the status
	// can still be shown.
	callerAddress, _ := netip.ParseAddrPort(m.CallerAddress)
	peerAddress, _ := netip.ParseAddrPort(m.PeerAddress)
	return anvilmodel.Member{
		Name:           anvilmodel.VMName(m.Name),
		Slot:           anvilmodel.SlotName(m.Slot),
		FailureDomain:  anvilmodel.FailureDomain(m.FailureDomain),
		CallerAddress:  callerAddress,
		PeerAddress:    peerAddress,
		Incarnation:    anvilmodel.Incarnation(m.Incarnation),
		Status:         anvilmodel.ParseMemberStatus(m.Status),
		Serving:        m.Serving,
		Load:           m.Load,
		ConfigRevision: m.Revision,
	}
}

func decodeLeafStatus(l leafStatusBody) LeafStatus {
	// An invalid duration becomes zero, so that the rest of the status can still
	// be shown.
	quiet, _ := time.ParseDuration(l.QuietRemaining)
	return LeafStatus{
		Leaf:              anvilmodel.LeafName(l.Leaf),
		Service:           anvilmodel.ServiceName(l.Service),
		FailureDomain:     anvilmodel.FailureDomain(l.FailureDomain),
		Rank:              l.Rank,
		Incarnation:       anvilmodel.Incarnation(l.Incarnation),
		Cold:              l.Cold,
		Draining:          l.Draining,
		FailureDomainOut:  l.FailureDomainOut,
		Breaker:           l.Breaker,
		QueueLength:       l.QueueLength,
		InFlight:          l.InFlight,
		Limit:             l.Limit,
		Connections:       l.Connections,
		QuietRemaining:    quiet,
		SilentConnections: l.SilentConnections,
	}
}

func decodeEvent(e eventBody) anvilaudit.Event {
	event := anvilaudit.Event{
		Time:     e.Time,
		Kind:     anvilaudit.Kind(e.Kind),
		Subject:  e.Subject,
		Cause:    e.Cause,
		Revision: e.Revision,
	}
	for _, c := range e.Changes {
		event.Changes = append(event.Changes, anvilaudit.Change{
			Path: c.Path,
			Old:  c.Old,
			New:  c.New,
		})
	}
	return event
}
