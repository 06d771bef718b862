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

// maxHeaderBytes bounds the head of a reply, which has a few hundred bytes.
const maxHeaderBytes = 16 << 10

// Request is one read over HTTP.
type Request struct {
	Address netip.AddrPort
	Path    string
	Query   url.Values
	Timeout time.Duration
	// Limit bounds the body in bytes.
	Limit int64
}

// Reader reads from services of the platform over kept connections. It is safe
// for concurrent use.
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
			// Interim responses count towards it.
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Get returns status and body. It returns Unreachable, TimedOut or TooLarge.
func (r *Reader) Get(ctx context.Context, read Request) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, read.Timeout)
	defer cancel()
	target := url.URL{
		Scheme:   "http",
		Host:     read.Address.String(),
		Path:     read.Path,
		RawQuery: read.Query.Encode(),
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return 0, nil, Unreachable.Wrap(err, "read %s", read.Path)
	}
	resp, err := r.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, wrapTransportError(err, read.Path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, read.Limit+1))
	if err != nil {
		return 0, nil, wrapTransportError(err, read.Path)
	}
	if int64(len(body)) > read.Limit {
		return 0, nil, TooLarge.New("read %s: the reply has over %d bytes", read.Path, read.Limit)
	}
	return resp.StatusCode, body, nil
}

// Close closes idle connections. Reads under way end with their context.
func (r *Reader) Close() {
	r.transport.CloseIdleConnections()
}

func wrapTransportError(err error, path string) error {
	var timeout net.Error
	if errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout()) {
		return TimedOut.Wrap(err, "read %s", path)
	}
	return Unreachable.Wrap(err, "read %s", path)
}
