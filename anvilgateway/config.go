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

// RequestMetadata is what the headers of a request say.
type RequestMetadata struct {
	// ID identifies the caller's attempt.
	ID string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
}

// LeafReply is what the status and headers of a leaf's reply say.
type LeafReply struct {
	// ID is that of the request that the leaf answers; empty if it does not say.
	ID string
	// Signature proves that the leaf ran the request; empty if there is none.
	Signature string
	// NotRun says that the leaf did not run the request.
	NotRun bool
	// Misdirected says that another leaf has the address.
	Misdirected bool
	// Instance is the leaf that answers; empty if it does not say.
	Instance anvilmodel.LeafName
	// LoadKnown says that the leaf reported its load: Load requests that run or wait.
	LoadKnown bool
	Load      int
	// ColdFor is how long the leaf says that it stays cold.
	ColdFor time.Duration
	// Leaving says that the leaf takes no new calls because it is about to end.
	Leaving bool
	// RetryAfter is when the leaf wants to be called again; 0 if it does not say.
	RetryAfter time.Duration
	// InvalidHeader is the name of a header that counts as absent because it could not
	// be read; empty if there is none.
	InvalidHeader string
}

// Protocol maps the headers of callers and leafs to domain types and back.
type Protocol struct {
	// DecodeRequest reads the headers of a request. It returns an error that can be
	// shown to the caller.
	DecodeRequest func(http.Header) (RequestMetadata, error)
	// ReplacesHeader reports whether a header of the caller is replaced by the gateway's
	// own in calls to leafs. The name is in canonical form.
	ReplacesHeader func(name string) bool
	// AppendCallHeaders appends the header lines that the gateway adds to a call.
	AppendCallHeaders func(lines []byte, timeout time.Duration, leaf anvilmodel.LeafName) []byte
	// DecodeReply reads the status and headers of a leaf's reply.
	DecodeReply func(status int, header http.Header) LeafReply
	// EncodeMergedHeaders writes the headers of an answer that is merged from parts.
	EncodeMergedHeaders func(header http.Header, signatures []string, missing int)
	// EncodeRetryAfter writes when a refused caller should come back.
	EncodeRetryAfter func(header http.Header, after time.Duration)
	// ReadyPath is where the platform asks whether the gateway is ready.
	ReadyPath string
	// AddressPath is where callers ask which addresses to use.
	AddressPath string
	// DecodeAddressRequest returns the failure domain of a caller that asks.
	DecodeAddressRequest func(*http.Request) anvilmodel.FailureDomain
	// EncodeAddresses writes the answer to such a caller.
	EncodeAddresses func(w http.ResponseWriter, addresses []netip.AddrPort, lifetime time.Duration) error
}

// ItemKind says what an item of the store describes.
type ItemKind int

// Kinds of items.
const (
	ItemOther ItemKind = iota
	ItemConfiguration
	ItemLeaf
	ItemDomainOutOfService
)

// Key is the meaning of a key of the store.
type Key struct {
	Kind   ItemKind
	Leaf   anvilmodel.LeafName
	Domain anvilmodel.FailureDomain
}

// Store reads what the platform publishes. Its revisions are above 0.
type Store struct {
	// ConfigurationPrefix and LeafPrefix are the prefixes that are followed.
	ConfigurationPrefix string
	LeafPrefix          string
	// ReadAll returns complete changes.
	ReadAll func(ctx context.Context, prefix string) (anvilmirror.Changes, error)
	// Watch returns the changes after a revision as soon as there is one, or none
	// after the wait. It returns anvilfollower.HistoryGone.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (anvilmirror.Changes, error)
	// DecodeKey returns the meaning of a key.
	DecodeKey func(key string) Key
	// DecodeConfiguration and DecodeLeaf read the value of an item.
	DecodeConfiguration func(value []byte) (anvilroute.Configuration, error)
	DecodeLeaf          func(key string, value []byte) (anvilbalance.Leaf, error)
}

// Addresses are where a gateway listens.
type Addresses struct {
	// Caller serves requests, Ready the platform's readiness checks, Directory the
	// address answers, Peer the other gateways, and Metrics the metrics.
	Caller    netip.AddrPort
	Ready     netip.AddrPort
	Directory netip.AddrPort
	Peer      netip.AddrPort
	// Metrics is not served if it is not valid.
	Metrics     netip.AddrPort
	MetricsPath string
}

// Config holds the settings of a Gateway. All fields without a default must be
// set.
type Config struct {
	// Name is the VM's name in logs.
	Name          string
	FailureDomain anvilmodel.FailureDomain
	Addresses     Addresses
	// Seeds are the peer addresses of gateways that may be running.
	Seeds    []netip.AddrPort
	Protocol Protocol
	Store    Store
	// GracePeriod is the time between the signal to stop and the end of the process; 6 s
	// by default.
	GracePeriod time.Duration
	// AddressLifetime is how long callers may use an address answer; 2 s by default
	// and at most, so that they soon leave a node that is gone.
	AddressLifetime time.Duration
	// Balance holds the bounds on calls to leafs.
	Balance anvilbalance.Config
	// Cores is the part of the processor that the node may use, in cores; 1 by
	// default.
	Cores float64
	// MaxReplyBytes bounds the body of one reply of a leaf, and MaxBodyMemory what the
	// bodies of all requests and replies hold; 8 MB and 64 MB by default.
	MaxReplyBytes int64
	MaxBodyMemory int64
	// MaxConnections bounds the connections of callers; 4,096 by default.
	MaxConnections int
	// MaxRequests bounds the requests that are worked on at a time; 1,000 by default.
	MaxRequests int
	// Seed is that of all random choices.
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
