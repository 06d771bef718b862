package anvilstandin

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// VMList is a fake of the service that publishes the list of live and leaving VMs.
type VMList struct {
	server *server

	mu     sync.Mutex
	latest []anvilmodel.ListedVM
	// published is the list that is served; it is stale while the list is frozen.
	published   []anvilmodel.ListedVM
	frozen      bool
	errorStatus int
	delay       time.Duration
	reads       int
}

// NewVMList starts the service with an empty list. The error is StartFailed.
func NewVMList() (*VMList, error) {
	v := &VMList{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+anvilwire.PathVMList, v.handleList)
	s, err := startServer(mux, 0)
	if err != nil {
		return nil, err
	}
	v.server = s
	return v, nil
}

// Address returns the address of the service.
func (v *VMList) Address() netip.AddrPort {
	return v.server.addr()
}

// Stop closes the service and its connections immediately. Start resumes it at
// the same address.
func (v *VMList) Stop() {
	v.server.stop()
}

// Start resumes the service after Stop. The error is StartFailed.
func (v *VMList) Start() error {
	return v.server.start()
}

// Set replaces the list. The new list is served immediately unless the list is
// frozen.
func (v *VMList) Set(vms ...anvilmodel.ListedVM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.latest = slices.Clone(vms)
	if !v.frozen {
		v.published = v.latest
	}
}

// SetFrozen makes the service keep serving the current list, as a service with
// stale data does. When it is reverted, the list that was set last is served.
func (v *VMList) SetFrozen(frozen bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.frozen = frozen
	if !frozen {
		v.published = v.latest
	}
}

// SetErrorStatus makes reads fail with an HTTP status; 0 reverts it.
func (v *VMList) SetErrorStatus(status int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.errorStatus = status
}

// SetDelay delays all replies.
func (v *VMList) SetDelay(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
}

// Reads returns the number of reads so far.
func (v *VMList) Reads() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reads
}

func (v *VMList) handleList(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	v.reads++
	status, delay, vms := v.errorStatus, v.delay, v.published
	v.mu.Unlock()
	if !sleep(r.Context(), delay) {
		return
	}
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	writeJSON(w, func(dst []byte) ([]byte, error) {
		return anvilwire.AppendVMList(dst, vms)
	})
}
