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

// VMList is a stand-in of the published list of live and leaving VMs.
type VMList struct {
	server *server

	mu     sync.Mutex
	actual []anvilmodel.ListedVM
	// published is what readers see; it lags while the list is frozen.
	published []anvilmodel.ListedVM
	frozen    bool
	status    int
	delay     time.Duration
	reads     int
}

// NewVMList starts an empty list. It returns Failed.
func NewVMList() (*VMList, error) {
	v := &VMList{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+anvilwire.PathVMList, v.list)
	s, err := startServer(mux, 0)
	if err != nil {
		return nil, err
	}
	v.server = s
	return v, nil
}

// Address is where the list is served.
func (v *VMList) Address() netip.AddrPort {
	return v.server.addr()
}

// Stop closes the service at once; Start brings it back at the same address.
func (v *VMList) Stop() {
	v.server.stop()
}

// Start listens again after Stop. It returns Failed.
func (v *VMList) Start() error {
	return v.server.start()
}

// Set replaces the list. Readers see it at once, unless the list is frozen.
func (v *VMList) Set(vms ...anvilmodel.ListedVM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.actual = slices.Clone(vms)
	if !v.frozen {
		v.published = v.actual
	}
}

// SetFrozen makes readers go on seeing the present list, as a lagging list
// does; when it ends they see the last one that was set.
func (v *VMList) SetFrozen(frozen bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.frozen = frozen
	if !frozen {
		v.published = v.actual
	}
}

// SetErrorStatus makes reads fail with an HTTP status; 0 ends it.
func (v *VMList) SetErrorStatus(status int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status = status
}

// SetDelay makes every reply late.
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

func (v *VMList) list(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	v.reads++
	status, delay, vms := v.status, v.delay, v.published
	v.mu.Unlock()
	if !pause(r.Context(), delay) {
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
