// Package anvilplatform is the HTTP client to the platform: the configuration
// service and the published list of VMs. It only reads.
package anvilplatform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

const (
	defaultTimeout          = 2 * time.Second
	defaultDialTimeout      = time.Second
	defaultMaxDocumentBytes = 1 << 20
	defaultMaxDocuments     = 16
	defaultMaxListBytes     = 4 << 20
	idleTimeout             = 90 * time.Second
)

// A reply may have twice the size of its documents, because JSON writes line
// breaks and quotes with two bytes, and some bytes for the names.
const (
	jsonGrowth   = 2
	jsonOverhead = 64 << 10
)

// Config holds the settings of a Client. Zero values take the defaults.
type Config struct {
	// ConfigAddress is where the configuration service listens.
	ConfigAddress netip.AddrPort
	// ListAddress is where the VM list is served.
	ListAddress netip.AddrPort
	// Timeout bounds a read, on top of the wait of a watch; 2 s by default.
	Timeout time.Duration
	// DialTimeout bounds opening a connection; 1 s by default.
	DialTimeout time.Duration
	// MaxDocumentBytes bounds one document; 1 MB by default.
	MaxDocumentBytes int
	// MaxDocuments bounds the number of documents; 16 by default.
	MaxDocuments int
	// MaxListBytes bounds the reply with the VM list; 4 MB by default.
	MaxListBytes int64
}

// Client reads from the platform.
type Client struct {
	config Config
	reader *Reader
}

// New returns a Client. It must be closed by Shutdown.
func New(c Config) *Client {
	c.Timeout = orDefault(c.Timeout, defaultTimeout)
	c.DialTimeout = orDefault(c.DialTimeout, defaultDialTimeout)
	c.MaxDocumentBytes = orDefault(c.MaxDocumentBytes, defaultMaxDocumentBytes)
	c.MaxDocuments = orDefault(c.MaxDocuments, defaultMaxDocuments)
	c.MaxListBytes = orDefault(c.MaxListBytes, defaultMaxListBytes)
	dialer := net.Dialer{
		Timeout: c.DialTimeout,
	}
	return &Client{
		config: c,
		reader: NewReader(dialer.DialContext),
	}
}

func orDefault[T int | int64 | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

// ConfigRead is what the configuration service said.
type ConfigRead struct {
	// Version is the store version; zero if NotModified.
	Version   uint64
	Documents []anvilwire.Document
	// NotModified says that nothing newer than asked for arrived in time.
	NotModified bool
}

// ReadConfig reads the documents if their version is higher than after. It
// waits up to wait for one; zero returns at once. It returns Unreachable,
// TimedOut, BadStatus, TooLarge or Malformed.
func (c *Client) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (ConfigRead, error) {
	query := url.Values{
		anvilwire.ParameterAfter: []string{strconv.FormatUint(after, 10)},
		anvilwire.ParameterWait:  []string{wait.String()},
	}
	limit := int64(c.config.MaxDocumentBytes)*int64(c.config.MaxDocuments)*jsonGrowth + jsonOverhead
	status, body, err := c.reader.Get(ctx, Read{
		Address: c.config.ConfigAddress,
		Path:    anvilwire.PathConfigRead,
		Query:   query,
		Timeout: wait + c.config.Timeout,
		Limit:   limit,
	})
	if err != nil {
		return ConfigRead{}, err
	}
	if status == http.StatusNotModified {
		return ConfigRead{
			NotModified: true,
		}, nil
	}
	if status != http.StatusOK {
		return ConfigRead{}, BadStatus.New("read configuration: HTTP status %d", status)
	}
	return c.decodeConfig(body)
}

func (c *Client) decodeConfig(body []byte) (ConfigRead, error) {
	read, err := anvilwire.DecodeConfigReply(body)
	if err != nil {
		return ConfigRead{}, Malformed.Wrap(err, "read configuration")
	}
	if len(read.Documents) > c.config.MaxDocuments {
		return ConfigRead{}, TooLarge.New("read configuration: %d documents, at most %d are accepted", len(read.Documents), c.config.MaxDocuments)
	}
	for _, d := range read.Documents {
		if len(d.Content) > c.config.MaxDocumentBytes {
			return ConfigRead{}, TooLarge.New("read configuration: document %s has %d bytes, at most %d are accepted", d.Name, len(d.Content), c.config.MaxDocumentBytes)
		}
	}
	return ConfigRead{
		Version:   read.Version,
		Documents: read.Documents,
	}, nil
}

// ListVMs reads the published list of live and leaving VMs. It returns
// Unreachable, TimedOut, BadStatus, TooLarge or Malformed.
func (c *Client) ListVMs(ctx context.Context) ([]anvilmodel.ListedVM, error) {
	status, body, err := c.reader.Get(ctx, Read{
		Address: c.config.ListAddress,
		Path:    anvilwire.PathVMList,
		Timeout: c.config.Timeout,
		Limit:   c.config.MaxListBytes,
	})
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, BadStatus.New("read VM list: HTTP status %d", status)
	}
	vms, err := anvilwire.DecodeVMList(body)
	if err != nil {
		return nil, Malformed.Wrap(err, "read VM list")
	}
	return vms, nil
}

// Shutdown closes idle connections. Reads under way end with their context.
func (c *Client) Shutdown() {
	c.reader.Close()
}
