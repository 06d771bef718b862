package anvilgateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilbalance"
	"anvilbridge/anvilmetric"
	"anvilbridge/anvilmirror"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilroute"
)

// RequestMetadata holds what the headers of a request state.
type RequestMetadata struct {
	// ID identifies one attempt of the caller.
	ID string
	// Timeout is how long the caller waits; 0 if it is not stated.
	Timeout time.Duration
}

// LeafReply holds what the status and headers of a leaf's reply state.
type LeafReply struct {
	// RequestID is the ID of the request that the leaf answers; empty if it is not stated.
	RequestID string
	// Signature proves that the leaf ran the request; empty if there is none.
	Signature string
	// NotRun is set if the leaf did not run the request.
	NotRun bool
	// Misdirected is set if the address belongs to another leaf.
	Misdirected bool
	// Leaf is the leaf that sent the reply; empty if it is not stated.
	Leaf anvilmodel.LeafName
	// LoadKnown is set if the leaf reported its load. Load is the number of requests that
	// are running or waiting.
	LoadKnown bool
	Load      int
	// ColdFor is the remaining warm-up time that the leaf reports.
	ColdFor time.Duration
	// Leaving is set if the leaf is shutting down and accepts no new calls.
	Leaving bool
	// RetryAfter is the delay after which the leaf may be called again; 0 if it is not
	// stated.
	RetryAfter time.Duration
	// RateLimitKnown is set if the leaf's announcement could be read. RateLimit is how many
	// requests it accepts from all nodes together.
	RateLimitKnown bool
	RateLimit      anvilmodel.RateLimit
	// InvalidHeader is the name of a header that could not be parsed and is treated as
	// absent; empty if there is none.
	InvalidHeader string
}

// Protocol maps the headers of callers and leaves to domain types and back.
type Protocol struct {
	// DecodeRequest reads the headers of a request. The text of its error may be sent to
	// the caller.
	DecodeRequest func(http.Header) (RequestMetadata, error)
	// ReplacesHeader reports whether the gateway replaces this header of the caller with
	// its own in calls to leaves. The name is in canonical form.
	ReplacesHeader func(name string) bool
	// AppendCallHeaders appends the header lines that the gateway adds to a call.
	AppendCallHeaders func(lines []byte, timeout time.Duration, leaf anvilmodel.LeafName) []byte
	// DecodeReply reads the status and headers of a leaf's reply.
	DecodeReply func(status int, header http.Header) LeafReply
	// EncodeMergedHeaders writes the headers of an answer that is merged from the replies
	// of several shards.
	EncodeMergedHeaders func(header http.Header, signatures []string, missing int)
	// EncodeRetryAfter writes the delay after which a refused caller should retry.
	EncodeRetryAfter func(header http.Header, after time.Duration)
	// ReadyPath is the path of the platform's readiness checks.
	ReadyPath string
	// AddressPath is the path on which callers request the addresses of gateways.
	AddressPath string
	// DecodeAddressRequest returns the failure domain of a caller that requests
	// addresses.
	DecodeAddressRequest func(*http.Request) anvilmodel.FailureDomain
	// EncodeAddresses writes the answer to a request for addresses.
	EncodeAddresses func(w http.ResponseWriter, addresses []netip.AddrPort, lifetime time.Duration) error
}

// ItemKind is the kind of an item of the store.
type ItemKind int

// Kinds of items in the store.
const (
	ItemOther ItemKind = iota
	ItemConfiguration
	ItemLeaf
	ItemDomainOutOfService
)

// Key is a decoded key of the store.
type Key struct {
	Kind   ItemKind
	Leaf   anvilmodel.LeafName
	Domain anvilmodel.FailureDomain
}

// Store reads what the platform publishes. Its revisions are above 0.
type Store struct {
	// ConfigurationPrefix and LeafPrefix are the key prefixes that the gateway follows.
	ConfigurationPrefix string
	LeafPrefix          string
	// ReadAll returns a snapshot of all items of a prefix.
	ReadAll func(ctx context.Context, prefix string) (anvilmirror.Changes, error)
	// Watch returns the changes after a revision as soon as there is one, or none once
	// wait has passed. It returns anvilfollower.HistoryGone if the store no longer has
	// them.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error)
	// DecodeKey decodes a key.
	DecodeKey func(key string) Key
	// DecodeConfiguration and DecodeLeaf decode the value of an item.
	DecodeConfiguration func(value []byte) (anvilroute.Configuration, error)
	DecodeLeaf          func(key string, value []byte) (anvilbalance.Leaf, error)
}

// Addresses holds the addresses on which a gateway listens.
type Addresses struct {
	// Caller serves requests, Ready the platform's readiness checks, Directory the
	// requests for addresses, and Peer the other gateways.
	Caller    netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	Peer      netip.AddrPort
	// Metrics serves the metrics on MetricsPath. They are not served if the address is
	// not valid.
	Metrics     netip.AddrPort
	MetricsPath string
}

// Config holds the settings of a Gateway. All fields without a default must be set.
type Config struct {
	// Name is the name of the VM in logs.
	Name          string
	FailureDomain anvilmodel.FailureDomain
	Addresses     Addresses
	// Seeds are the peer addresses of gateways that may be running.
	Seeds    []netip.AddrPort
	Protocol Protocol
	Store    Store
	// GracePeriod is the time from the signal to stop until the process must have ended;
	// 6 s by default.
	GracePeriod time.Duration
	// AddressLifetime is how long callers may use an answer with addresses. The default
	// and the maximum are 2 s, so that callers soon stop using a node that has failed.
	AddressLifetime time.Duration
	// Balance configures the balancing of calls to leaves.
	Balance anvilbalance.Config
	// Cores is the processor time that the node may use, in cores; 1 by default.
	Cores float64
	// MaxReplyBytes bounds the body of a leaf's reply, and MaxBodyMemory the memory held
	// by the bodies of all requests and replies; 8 MB and 64 MB by default.
	MaxReplyBytes int64
	MaxBodyMemory int64
	// MaxConnections bounds the connections of callers; 4,096 by default.
	MaxConnections int
	// MaxRequests bounds the requests in flight; 1,000 by default.
	MaxRequests int
	// Seed is the seed of all random choices.
	Seed    uint64
	Log     zerolog.Logger
	Metrics *anvilmetric.Metrics
}

const (
	defaultGracePeriod    = 6 * time.Second
	maxAddressLifetime    = 2 * time.Second
	defaultMaxRequests    = 1000
	defaultMaxReplyBytes  = 8 << 20
	defaultMaxBodyMemory  = 64 << 20
	defaultMaxConnections = 4096
)

func (c Config) withDefaults() Config {
	if c.GracePeriod <= 0 {
		c.GracePeriod = defaultGracePeriod
	}
	if c.AddressLifetime <= 0 || c.AddressLifetime > maxAddressLifetime {
		c.AddressLifetime = maxAddressLifetime
	}
	if c.Cores <= 0 {
		c.Cores = 1
	}
	if c.MaxRequests <= 0 {
		c.MaxRequests = defaultMaxRequests
	}
	if c.MaxReplyBytes <= 0 {
		c.MaxReplyBytes = defaultMaxReplyBytes
	}
	if c.MaxBodyMemory <= 0 {
		c.MaxBodyMemory = defaultMaxBodyMemory
	}
	c.MaxReplyBytes = min(c.MaxReplyBytes, c.MaxBodyMemory)
	if c.MaxConnections <= 0 {
		c.MaxConnections = defaultMaxConnections
	}
	return c
}
