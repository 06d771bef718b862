// Package anvilplatform implements a read-only HTTP client for the platform's
// configuration service and its published list of VMs.
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

// A reply may have twice the size of its documents, because JSON encodes line breaks and
// quotes with two bytes, plus some bytes for names.
const (
	maxJSONGrowth = 2
	jsonOverhead  = 64 << 10
)

// Config holds the settings of a Client. Zero values take the defaults.
type Config struct {
	// ConfigAddress is the address of the configuration service.
	ConfigAddress netip.AddrPort
	// ListAddress is the address of the service with the VM list.
	ListAddress netip.AddrPort
	// Timeout bounds a read, in addition to the wait time of a watch; 2 s by default.
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

func orDefault[T int | int64 | time.Duration](value, defaultValue T) T {
	if value <= 0 {
		return defaultValue
	}
	return value
}

// ConfigReply is a reply of the configuration service.
type ConfigReply struct {
	// Version is the version of the documents; zero if NotModified.
	Version   uint64
	Documents []anvilwire.Document
	// NotModified means that there was no newer version within the wait time.
	NotModified bool
}

// ReadConfig reads the documents if their version is higher than after. Otherwise it
// waits for a higher version, at most for wait; zero returns at once. It returns
// Unreachable, TimedOut, BadStatus, TooLarge or Malformed.
func (c *Client) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (ConfigReply, error) {
	query := url.Values{
		anvilwire.ParameterAfter: []string{strconv.FormatUint(after, 10)},
		anvilwire.ParameterWait:  []string{wait.String()},
	}
	limit := int64(c.config.MaxDocumentBytes)*int64(c.config.MaxDocuments)*maxJSONGrowth + jsonOverhead
	reply, err := c.reader.Get(ctx, Request{
		Address: c.config.ConfigAddress,
		Path:    anvilwire.PathConfigRead,
		Query:   query,
		Timeout: wait + c.config.Timeout,
		Limit:   limit,
	})
	if err != nil {
		return ConfigReply{}, err
	}
	if reply.Status == http.StatusNotModified {
		return ConfigReply{
			NotModified: true,
		}, nil
	}
	if reply.Status != http.StatusOK {
		return ConfigReply{}, BadStatus.New("read configuration: HTTP status %d", reply.Status)
	}
	return c.decodeConfig(reply.Body)
}

func (c *Client) decodeConfig(body []byte) (ConfigReply, error) {
	read, err := anvilwire.DecodeConfigReply(body)
	if err != nil {
		return ConfigReply{}, Malformed.Wrap(err, "read configuration")
	}
	if len(read.Documents) > c.config.MaxDocuments {
		return ConfigReply{}, TooLarge.New("read configuration: reply has %d documents, the limit is %d", len(read.Documents), c.config.MaxDocuments)
	}
	for _, d := range read.Documents {
		if len(d.Content) > c.config.MaxDocumentBytes {
			return ConfigReply{}, TooLarge.New("read configuration: document %s has %d bytes, the limit is %d", d.Name, len(d.Content), c.config.MaxDocumentBytes)
		}
	}
	return ConfigReply{
		Version:   read.Version,
		Documents: read.Documents,
	}, nil
}

// ListVMs reads the published list of live and leaving VMs. It returns
// Unreachable, TimedOut, BadStatus, TooLarge or Malformed.
func (c *Client) ListVMs(ctx context.Context) ([]anvilmodel.ListedVM, error) {
	reply, err := c.reader.Get(ctx, Request{
		Address: c.config.ListAddress,
		Path:    anvilwire.PathVMList,
		Timeout: c.config.Timeout,
		Limit:   c.config.MaxListBytes,
	})
	if err != nil {
		return nil, err
	}
	if reply.Status != http.StatusOK {
		return nil, BadStatus.New("read VM list: HTTP status %d", reply.Status)
	}
	vms, err := anvilwire.DecodeVMList(reply.Body)
	if err != nil {
		return nil, Malformed.Wrap(err, "read VM list")
	}
	return vms, nil
}

// Shutdown closes idle connections. Outstanding reads end with their context.
func (c *Client) Shutdown() {
	c.reader.Close()
}
