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

// ConfigService is a fake of the configuration service. It keeps all versions of
// the documents, so that it can serve an old one.
type ConfigService struct {
	server *server

	mu       sync.Mutex
	versions []anvilwire.ConfigReply
	// servedIndex is the index of the version that is served to readers.
	servedIndex int
	// pinned means that the served version does not change when a document is
	// stored.
	pinned       bool
	errorStatus  int
	delay        time.Duration
	reads        int
	waitingReads int
	changed      chan struct{}
}

// NewConfigService starts a service at version 0, without documents. The error is
// StartFailed.
func NewConfigService() (*ConfigService, error) {
	c := &ConfigService{
		versions: make([]anvilwire.ConfigReply, 1),
		changed:  make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+anvilwire.PathConfigRead, c.handleRead)
	s, err := startServer(mux, 0)
	if err != nil {
		return nil, err
	}
	c.server = s
	return c, nil
}

// Address returns the address of the service.
func (c *ConfigService) Address() netip.AddrPort {
	return c.server.addr()
}

// Stop closes the service and its connections immediately. Start resumes it at
// the same address.
func (c *ConfigService) Stop() {
	c.server.stop()
}

// Start resumes the service after Stop. The error is StartFailed.
func (c *ConfigService) Start() error {
	return c.server.start()
}

// SetDocument adds or replaces one document, and returns the new version.
func (c *ConfigService) SetDocument(name string, content []byte) uint64 {
	return c.SetDocuments(anvilwire.Document{
		Name:    name,
		Content: content,
	})
}

// SetDocuments adds or replaces several documents in one step, keeps the others,
// and returns the new version.
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
	if !c.pinned {
		c.servedIndex = len(c.versions) - 1
	}
	c.notifyWaitingReads()
	return next.Version
}

// Version returns the last stored version.
func (c *ConfigService) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[len(c.versions)-1].Version
}

// ServeVersion serves a stored version from now on, as a stale replica of the
// service does, even if later versions are stored. ServeLatest reverts it.
func (c *ConfigService) ServeVersion(version uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version >= uint64(len(c.versions)) {
		return BadSetting.New("serve version %d: the last one is %d", version, len(c.versions)-1)
	}
	c.servedIndex = int(version)
	c.pinned = true
	c.notifyWaitingReads()
	return nil
}

// ServeLatest serves the last stored version again.
func (c *ConfigService) ServeLatest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servedIndex = len(c.versions) - 1
	c.pinned = false
	c.notifyWaitingReads()
}

// SetErrorStatus makes reads, including waiting ones, fail with an HTTP status; 0
// reverts it.
func (c *ConfigService) SetErrorStatus(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errorStatus = status
	c.notifyWaitingReads()
}

// SetDelay delays all replies.
func (c *ConfigService) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// Reads returns the number of reads so far; a read that waits for a newer version
// counts once.
func (c *ConfigService) Reads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// WaitingReads returns the number of reads that wait for a newer version.
func (c *ConfigService) WaitingReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingReads
}

// notifyWaitingReads makes waiting reads check the served version and the error
// status again.
func (c *ConfigService) notifyWaitingReads() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *ConfigService) handleRead(w http.ResponseWriter, r *http.Request) {
	after, wait, err := parseReadParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.reads++
	delay := c.delay
	c.mu.Unlock()
	if !sleep(r.Context(), delay) {
		return
	}
	reply, status := c.awaitNewerVersion(r, after, wait)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, func(dst []byte) ([]byte, error) {
		return anvilwire.AppendConfigReply(dst, &reply)
	})
}

func parseReadParameters(r *http.Request) (uint64, time.Duration, error) {
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

// awaitNewerVersion waits until the served version is greater than the given one
// and returns it with HTTP status 200. It returns status 304 if there is none
// within the wait time.
func (c *ConfigService) awaitNewerVersion(r *http.Request, after uint64, wait time.Duration) (anvilwire.ConfigReply, int) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		if c.errorStatus != 0 {
			return anvilwire.ConfigReply{}, c.errorStatus
		}
		if reply := c.versions[c.servedIndex]; reply.Version > after {
			return reply, http.StatusOK
		}
		if wait <= 0 {
			return anvilwire.ConfigReply{}, http.StatusNotModified
		}
		changed := c.changed
		c.waitingReads++
		c.mu.Unlock()
		ended := false
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		c.mu.Lock()
		c.waitingReads--
		if ended {
			return anvilwire.ConfigReply{}, http.StatusNotModified
		}
	}
}

// writeJSON encodes a JSON body and writes it as the response.
func writeJSON(w http.ResponseWriter, encode func(dst []byte) ([]byte, error)) {
	body, err := encode(nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(anvilwire.HeaderContentType, anvilwire.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// An error means that the client has closed the connection.
	_, _ = w.Write(body)
}
