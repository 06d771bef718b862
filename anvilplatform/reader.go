package anvilplatform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"
)

// maxHeaderBytes bounds the status line and headers of a reply, which usually have a few
// hundred bytes.
const maxHeaderBytes = 16 << 10

// Request is a GET request.
type Request struct {
	Address netip.AddrPort
	Path    string
	Query   url.Values
	Timeout time.Duration
	// Limit is the maximum size of the body in bytes.
	Limit int64
}

// Reply is the reply to a Request.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Reader sends GET requests to services of the platform over persistent connections. It
// is safe for concurrent use.
type Reader struct {
	transport *http.Transport
}

// NewReader returns a Reader that opens connections with dial.
func NewReader(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Reader {
	return &Reader{
		transport: &http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			IdleConnTimeout:    idleTimeout,
			// Interim responses (status 1xx) count towards this limit.
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Get returns the reply. It returns Unreachable, TimedOut or TooLarge.
func (r *Reader) Get(ctx context.Context, request Request) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	target := url.URL{
		Scheme:   "http",
		Host:     request.Address.String(),
		Path:     request.Path,
		RawQuery: request.Query.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return Reply{}, Unreachable.Wrap(err, "read %s", request.Path)
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return Reply{}, wrapTransportError(err, request.Path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, request.Limit+1))
	if err != nil {
		return Reply{}, wrapTransportError(err, request.Path)
	}
	if int64(len(body)) > request.Limit {
		return Reply{}, TooLarge.New("read %s: reply exceeds %d bytes", request.Path, request.Limit)
	}
	return Reply{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   body,
	}, nil
}

// Close closes idle connections. Outstanding requests end with their context.
func (r *Reader) Close() {
	r.transport.CloseIdleConnections()
}

// wrapTransportError returns TimedOut for timeouts and Unreachable for other errors.
func wrapTransportError(err error, path string) error {
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return TimedOut.Wrap(err, "read %s", path)
	}
	return Unreachable.Wrap(err, "read %s", path)
}
