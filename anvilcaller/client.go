// Package anvilcaller is a caller's client. It asks any node for addresses,
// keeps the answer for its lifetime, and uses the next address when one is dead.
package anvilcaller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const (
	defaultDialTimeout    = 250 * time.Millisecond
	defaultAddressTimeout = time.Second
	defaultMaxReplyBytes  = 64 << 20
	defaultIdleTimeout    = 90 * time.Second
	idlePerNode           = 64
	maxHeaderBytes        = 16 << 10
)

// Config holds the settings of a Client. Zero values take the defaults.
type Config struct {
	// Seeds are addresses of nodes that may be asked for addresses, in order.
	Seeds []netip.AddrPort
	// FailureDomain is the caller's own; it may be empty.
	FailureDomain anvilmodel.FailureDomain
	// DialTimeout bounds the wait for a connection, as does half of the time
	// that is left for the request; 250 ms by default.
	DialTimeout time.Duration
	// AddressTimeout bounds one address query; 1 s by default.
	AddressTimeout time.Duration
	// MaxReplyBytes bounds a reply; 64 MB by default.
	MaxReplyBytes int64
}

// Request is one logical request. Its ID stays the same whatever node gets it.
type Request struct {
	// ID is chosen by the client if it is empty.
	ID      anvilmodel.RequestID
	Service anvilmodel.ServiceName
	Class   anvilmodel.ClassName
	// Timeout is the time in which the answer is of use; it is required.
	Timeout time.Duration
	// Key routes the request to the one shard of that key; empty means all shards.
	Key string
	// NonIdempotent marks a request that may run at most once.
	NonIdempotent bool
	// Body must not be changed after the request was handed over.
	Body []byte
}

// Client sends requests. Its methods may be called concurrently.
type Client struct {
	config    Config
	transport *http.Transport
	// base ends when the client is shut down.
	base   context.Context
	cancel context.CancelFunc
	// fetches merges concurrent address queries.
	fetches singleflight.Group

	mu      sync.Mutex
	known   anvilwire.AddressList
	expires time.Time
}

// New returns a Client. It must be closed by Shutdown.
func New(c Config) *Client {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.AddressTimeout <= 0 {
		c.AddressTimeout = defaultAddressTimeout
	}
	if c.MaxReplyBytes <= 0 {
		c.MaxReplyBytes = defaultMaxReplyBytes
	}
	base, cancel := context.WithCancel(context.Background())
	dialer := net.Dialer{
		Timeout: c.DialTimeout,
	}
	return &Client{
		config: c,
		base:   base,
		cancel: cancel,
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			IdleConnTimeout:        defaultIdleTimeout,
			MaxIdleConnsPerHost:    idlePerNode,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Shutdown ends address queries under way and closes idle connections.
func (c *Client) Shutdown() {
	c.cancel()
	c.transport.CloseIdleConnections()
}

// Query sends the request to the first usable node and returns the verified
// answer. A node that cannot be reached, or that refuses the request not-run
// because of itself, is followed by the next one. An idempotent request may be
// sent again after any failure; see once.go for others.
//
// The error is an *anvilmodel.Refusal if a node refused the request, or one of
// the errorx types of this package.
func (c *Client) Query(ctx context.Context, r Request) (anvilmodel.Answer, error) {
	if r.Timeout <= 0 {
		return anvilmodel.Answer{}, BadRequest.New("send request: it has no timeout")
	}
	if r.ID == "" {
		r.ID = anvilmodel.RequestID(randomID())
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	if r.NonIdempotent {
		return c.queryOnce(ctx, &r)
	}
	return c.queryAny(ctx, &r)
}

// queryAny sends an idempotent request until a node answers.
func (c *Client) queryAny(ctx context.Context, r *Request) (anvilmodel.Answer, error) {
	t := tour{
		client: c,
	}
	for {
		node, err := t.next(ctx)
		if err != nil {
			return anvilmodel.Answer{}, err
		}
		answer, err := c.send(ctx, node.CallerAddress, r, anvilmodel.Ticket{})
		if err == nil {
			return answer, nil
		}
		if !t.moveOn(ctx, node, err) {
			return anvilmodel.Answer{}, err
		}
	}
}

// tour visits each node once for one request.
type tour struct {
	client *Client
	tried  map[netip.AddrPort]bool
	// moved says that a refusal was followed by another node already.
	moved bool
	// last is the error of the last node.
	last error
}

// next returns the best node not yet tried. When there is none it asks for
// addresses once more, and then returns the error of the last node.
func (t *tour) next(ctx context.Context) (anvilmodel.Member, error) {
	for range 2 {
		answer, err := t.client.Addresses(ctx)
		if err != nil {
			if t.last != nil {
				err = t.last
			}
			return anvilmodel.Member{}, err
		}
		for _, m := range answer.Members {
			if !t.tried[m.CallerAddress] {
				t.visit(m.CallerAddress)
				return m, nil
			}
		}
		t.client.expire()
	}
	if t.last != nil {
		return anvilmodel.Member{}, t.last
	}
	return anvilmodel.Member{}, Unreachable.New("send request: no node is named")
}

func (t *tour) visit(address netip.AddrPort) {
	if t.tried == nil {
		t.tried = make(map[netip.AddrPort]bool)
	}
	t.tried[address] = true
}

// moveOn reports whether the request may go to another node after an error,
// as far as time and the kind of error allow.
func (t *tour) moveOn(ctx context.Context, node anvilmodel.Member, err error) bool {
	t.last = err
	if ctx.Err() != nil {
		return false
	}
	refusal := refusalOf(err)
	if refusal == nil {
		t.client.drop(node.CallerAddress)
		return true
	}
	if refusal.RunState != anvilmodel.RunStateNotRun || t.moved {
		return false
	}
	switch refusal.Reason {
	case anvilmodel.ReasonLeaving, anvilmodel.ReasonNotReady, anvilmodel.ReasonFailureDomainOut:
		t.client.drop(node.CallerAddress)
	case anvilmodel.ReasonOverload:
	default:
		return false
	}
	t.moved = true
	return true
}
