package anvilstandin

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"anvilbridge/anvilwire"
)

// ConfigService is a stand-in of the configuration service. It keeps every
// version of the documents, so that it can serve an old one.
type ConfigService struct {
	server *server

	mu       sync.Mutex
	versions []anvilwire.ConfigReply
	// served is the index of the version that readers see.
	served  int
	stale   bool
	status  int
	delay   time.Duration
	reads   int
	waiting int
	changed chan struct{}
}

// NewConfigService starts a service without documents, at version 0. It
// returns Failed.
func NewConfigService() (*ConfigService, error) {
	c := &ConfigService{
		versions: make([]anvilwire.ConfigReply, 1),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+anvilwire.PathConfigRead, c.read)
	s, err := startServer(mux, 0)
	if err != nil {
		return nil, err
	}
	c.server = s
	return c, nil
}

// Address is where the service listens.
func (c *ConfigService) Address() netip.AddrPort {
	return c.server.addr()
}

// Stop closes the service at once; Start brings it back at the same address.
func (c *ConfigService) Stop() {
	c.server.stop()
}

// Start listens again after Stop. It returns Failed.
func (c *ConfigService) Start() error {
	return c.server.start()
}

// SetDocument stores one document as a new version, and returns the version.
func (c *ConfigService) SetDocument(name string, content []byte) uint64 {
	return c.SetDocuments(anvilwire.Document{
		Name:    name,
		Content: content,
	})
}

// SetDocuments stores documents together as one new version, beside those
// that are not named, and returns the version.
func (c *ConfigService) SetDocuments(documents ...anvilwire.Document) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.versions[len(c.versions)-1]
	next := anvilwire.ConfigReply{
		Version: last.Version + 1,
	}
	for _, d := range last.Documents {
		if !slices.ContainsFunc(documents, func(n anvilwire.Document) bool { return n.Name == d.Name }) {
			next.Documents = append(next.Documents, d)
		}
	}
	for _, d := range documents {
		next.Documents = append(next.Documents, anvilwire.Document{
			Name:    d.Name,
			Content: slices.Clone(d.Content),
		})
	}
	slices.SortFunc(next.Documents, func(a, b anvilwire.Document) int {
		return strings.Compare(a.Name, b.Name)
	})
	c.versions = append(c.versions, next)
	if !c.stale {
		c.served = len(c.versions) - 1
	}
	c.wake()
	return next.Version
}

// Version returns the last stored version.
func (c *ConfigService) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[len(c.versions)-1].Version
}

// ServeVersion makes readers see a stored version, whatever is stored later,
// as a stale replica does. ServeLatest ends it.
func (c *ConfigService) ServeVersion(version uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version >= uint64(len(c.versions)) {
		return BadSetting.New("serve version %d: the last one is %d", version, len(c.versions)-1)
	}
	c.served = int(version)
	c.stale = true
	c.wake()
	return nil
}

// ServeLatest makes readers see the last stored version again.
func (c *ConfigService) ServeLatest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = len(c.versions) - 1
	c.stale = false
	c.wake()
}

// SetErrorStatus makes reads fail with an HTTP status; 0 ends it. Waiting reads
// fail too.
func (c *ConfigService) SetErrorStatus(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status = status
	c.wake()
}

// SetDelay makes every reply late.
func (c *ConfigService) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// Reads returns the number of reads so far; a watch that waits counts as one.
func (c *ConfigService) Reads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// WaitingReads returns the number of watches that are waiting.
func (c *ConfigService) WaitingReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// wake lets waiting reads look again.
func (c *ConfigService) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *ConfigService) read(w http.ResponseWriter, r *http.Request) {
	after, wait, err := readParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.reads++
	delay := c.delay
	c.mu.Unlock()
	if !pause(r.Context(), delay) {
		return
	}
	read, status := c.await(r, after, wait)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, func(dst []byte) ([]byte, error) {
		return anvilwire.AppendConfigReply(dst, &read)
	})
}

func readParameters(r *http.Request) (uint64, time.Duration, error) {
	var after uint64
	var wait time.Duration
	var err error
	if text := r.URL.Query().Get(anvilwire.ParameterAfter); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, err
		}
	}
	if text := r.URL.Query().Get(anvilwire.ParameterWait); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return 0, 0, err
		}
	}
	return after, wait, nil
}

// await waits until the served version is above after, or the wait is over.
func (c *ConfigService) await(r *http.Request, after uint64, wait time.Duration) (anvilwire.ConfigReply, int) {
	over := time.NewTimer(max(wait, 0))
	defer over.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.status != 0 {
			return anvilwire.ConfigReply{}, c.status
		}
		if read := c.versions[c.served]; read.Version > after {
			return read, http.StatusOK
		}
		if wait <= 0 {
			return anvilwire.ConfigReply{}, http.StatusNotModified
		}
		changed := c.changed
		c.waiting++
		c.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-over.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		c.mu.Lock()
		c.waiting--
		if ended {
			return anvilwire.ConfigReply{}, http.StatusNotModified
		}
	}
}

// writeJSON writes a body that an encoder of anvilwire appends.
func writeJSON(w http.ResponseWriter, encode func(dst []byte) ([]byte, error)) {
	body, err := encode(nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(anvilwire.HeaderContentType, anvilwire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// An error means that the reader has gone.
	_, _ = w.Write(body)
}
