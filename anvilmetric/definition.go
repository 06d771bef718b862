// Package anvilmetric defines the metrics of nodes and gateways and exports them in
// the Prometheus text format.
package anvilmetric

// Kind is the type of a metric.
type Kind int

// Kinds of metrics.
const (
	KindCounter Kind = iota + 1
	KindGauge
	KindDurationHistogram
	KindRatioHistogram
)

// Definition describes a metric. It is exported as Name with the prefix
// "anvilbridge_".
type Definition struct {
	Name   string
	Kind   Kind
	Help   string
	Labels []string
}

// Metrics of nodes and gateways.
var (
	Queries = Definition{
		Name:   "queries_total",
		Kind:   KindCounter,
		Help:   "Queries finished, by class and outcome (answer, partial or the reason of a refusal).",
		Labels: []string{"class", "outcome"},
	}
	QueryDuration = Definition{
		Name:   "query_duration_seconds",
		Kind:   KindDurationHistogram,
		Help:   "Time from arrival to the final answer.",
		Labels: []string{"class"},
	}
	QueryCoverage = Definition{
		Name:   "query_coverage_ratio",
		Kind:   KindRatioHistogram,
		Help:   "Share of the shards of the snapshot that the answer covers, for answered queries.",
		Labels: []string{"class"},
	}
	LeafCalls = Definition{
		Name:   "leaf_calls_total",
		Kind:   KindCounter,
		Help:   "Calls sent to upstreams, by service, kind (primary, hedge, retry) and result.",
		Labels: []string{"service", "kind", "result"},
	}
	LeafCallDuration = Definition{
		Name:   "leaf_call_duration_seconds",
		Kind:   KindDurationHistogram,
		Help:   "Time of a call at the upstream, without queueing at the dispatcher.",
		Labels: []string{"service"},
	}
	LeavesCold = Definition{
		Name: "leafs_cold",
		Kind: KindGauge,
		Help: "Leaves that this node's dispatchers consider cold.",
	}
	LeavesBreakerOpen = Definition{
		Name: "leafs_breaker_open",
		Kind: KindGauge,
		Help: "Leaves whose circuit breaker is open at this node's dispatchers.",
	}
	LeafQueueLength = Definition{
		Name: "leaf_queue_length",
		Kind: KindGauge,
		Help: "Calls queued at this node's dispatchers.",
	}
	LeafCallsInFlight = Definition{
		Name: "leaf_calls_in_flight",
		Kind: KindGauge,
		Help: "Calls of this node's dispatchers in progress at upstreams.",
	}
	RelayedCalls = Definition{
		Name:   "relayed_calls_total",
		Kind:   KindCounter,
		Help:   "Leaf calls relayed between nodes, by direction (sent, received, or failed-over to the next candidate for the leaf).",
		Labels: []string{"direction"},
	}
	RepliesDropped = Definition{
		Name: "replies_dropped_total",
		Kind: KindCounter,
		Help: "Replies dropped because they were late, duplicate or for another request.",
	}
	ConfigRevision = Definition{
		Name: "config_revision",
		Kind: KindGauge,
		Help: "Store version of the active configuration.",
	}
	Members = Definition{
		Name:   "members",
		Kind:   KindGauge,
		Help:   "Members known, by status.",
		Labels: []string{"status"},
	}
	PeerControlMessages = Definition{
		Name:   "peer_control_messages_total",
		Kind:   KindCounter,
		Help:   "Control messages sent to other nodes, by kind.",
		Labels: []string{"kind"},
	}
	PeerControlBytes = Definition{
		Name:   "peer_control_bytes_total",
		Kind:   KindCounter,
		Help:   "Encoded bytes of control messages sent to other nodes, by kind.",
		Labels: []string{"kind"},
	}
	AuditEvents = Definition{
		Name:   "audit_events_total",
		Kind:   KindCounter,
		Help:   "Audit events, by kind.",
		Labels: []string{"kind"},
	}
	FailureDomainOut = Definition{
		Name:   "failure_domain_out",
		Kind:   KindGauge,
		Help:   "1 if operators have taken the failure domain out of service, else 0.",
		Labels: []string{"failure_domain"},
	}
	LeafHealthChecks = Definition{
		Name:   "leaf_health_checks_total",
		Kind:   KindCounter,
		Help:   "Health checks of ejected leaves by a gateway, by result (ok or failed).",
		Labels: []string{"result"},
	}
	LeavesKnown = Definition{
		Name: "leafs_known",
		Kind: KindGauge,
		Help: "Leaves that a gateway knows from the platform's store.",
	}
	LeavesLimited = Definition{
		Name: "leafs_rate_limited",
		Kind: KindGauge,
		Help: "Leaves that announce to a gateway a limit on the requests of all nodes together.",
	}
	LeafPausePeriod = Definition{
		Name: "leaf_pause_period_seconds",
		Kind: KindGauge,
		Help: "Period of the regular pauses of leaves, as estimated by a gateway; 0 if none.",
	}
	GatewaysKnown = Definition{
		Name: "gateways_known",
		Kind: KindGauge,
		Help: "Gateways, including this one, among which the limits per leaf are divided.",
	}
	ProcessorLoad = Definition{
		Name: "processor_load_ratio",
		Kind: KindGauge,
		Help: "Share of a gateway's processor time in use, averaged over several seconds.",
	}
	StoreReads = Definition{
		Name:   "store_reads_total",
		Kind:   KindCounter,
		Help:   "Reads of the platform's store by a gateway, by kind (read, watch, peer) and result (ok or failed).",
		Labels: []string{"kind", "result"},
	}
	QueriesInFlight = Definition{
		Name: "queries_in_flight",
		Kind: KindGauge,
		Help: "Queries in progress for which this node is the origin.",
	}
)

// Definitions returns all metrics, to check the documentation against them.
func Definitions() []Definition {
	return []Definition{
		Queries, QueryDuration, QueryCoverage, QueriesInFlight,
		LeafCalls, LeafCallDuration, LeavesCold, LeavesBreakerOpen, LeafQueueLength, LeafCallsInFlight,
		RelayedCalls, RepliesDropped, ConfigRevision, Members,
		PeerControlMessages, PeerControlBytes, AuditEvents, FailureDomainOut,
		LeafHealthChecks, LeavesKnown, LeavesLimited, GatewaysKnown, LeafPausePeriod, StoreReads, ProcessorLoad,
	}
}
