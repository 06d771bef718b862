package anvilstandin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// Paths of the control endpoint.
const (
	pathControlLeaf    = "/standin/v1/leaf/{name}"
	pathControlConfig  = "/standin/v1/config/{document}"
	pathControlVMs     = "/standin/v1/vms"
	pathControlPublish = "/standin/v1/publish/{service}"
)

// controlHandler returns the handler of the control endpoint:
//
//	POST /standin/v1/leaf/{name}        sets the form fields of leafControls
//	GET  /standin/v1/leaf/{name}        returns the counters of the leaf as JSON
//	PUT  /standin/v1/config/{document}  stores the body as a document
//	POST /standin/v1/vms                sets the VM list to the one in the body
//	POST /standin/v1/publish/{service}  publishes a snapshot; form fields snapshot, shards
func (c *Cluster) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathControlLeaf, c.handleSetLeaf)
	mux.HandleFunc("GET "+pathControlLeaf, c.handleLeafStats)
	mux.HandleFunc("PUT "+pathControlConfig, c.handleSetDocument)
	mux.HandleFunc("POST "+pathControlVMs, c.handleSetVMList)
	mux.HandleFunc("POST "+pathControlPublish, c.handlePublishSnapshot)
	return mux
}

// leafControls maps form fields to functions that set the faults and the state of
// a leaf.
var leafControls = map[string]func(u *Upstream, value string) error{
	"slow":               durationControl((*Upstream).SetServiceDelay),
	"reply-delay":        durationControl((*Upstream).SetReplyDelay),
	"state-delay":        durationControl((*Upstream).SetStateDelay),
	"cold":               boolControl((*Upstream).SetCold),
	"draining":           boolControl((*Upstream).SetDraining),
	"out":                boolControl((*Upstream).SetFailureDomainOut),
	"ignore-timeouts":    boolControl((*Upstream).SetIgnoreTimeouts),
	"state-frozen":       boolControl((*Upstream).SetStateFrozen),
	"silent-connections": actionControl((*Upstream).SilenceConnections),
	"turn-cold":          actionControl((*Upstream).ReplaceProcess),
	"cross-replies":      faultControl(CrossReply),
	"truncate-replies":   faultControl(TruncateReply),
	"corrupt-replies":    faultControl(CorruptReply),
	"break-replies":      faultControl(BreakReply),
	"stopped":            stopControl,
	"drop-snapshot":      dropSnapshotControl,
}

func durationControl(set func(*Upstream, time.Duration)) func(*Upstream, string) error {
	return func(u *Upstream, value string) error {
		d, err := time.ParseDuration(value)
		if err == nil {
			set(u, d)
		}
		return err
	}
}

func boolControl(set func(*Upstream, bool)) func(*Upstream, string) error {
	return func(u *Upstream, value string) error {
		b, err := strconv.ParseBool(value)
		if err == nil {
			set(u, b)
		}
		return err
	}
}

// actionControl returns a control that runs the action for a true value and does
// nothing for a false one.
func actionControl(action func(*Upstream)) func(*Upstream, string) error {
	return func(u *Upstream, value string) error {
		b, err := strconv.ParseBool(value)
		if b {
			action(u)
		}
		return err
	}
}

func faultControl(f ReplyFault) func(*Upstream, string) error {
	return func(u *Upstream, value string) error {
		n, err := strconv.Atoi(value)
		if err == nil {
			u.InjectReplyFaults(f, n)
		}
		return err
	}
}

func stopControl(u *Upstream, value string) error {
	stop, err := strconv.ParseBool(value)
	if err != nil {
		return err
	}
	if stop {
		u.Stop()
		return nil
	}
	return u.Start()
}

func dropSnapshotControl(u *Upstream, value string) error {
	n, err := strconv.ParseUint(value, 10, 64)
	if err == nil {
		u.DropSnapshot(anvilmodel.Snapshot(n))
	}
	return err
}

// handleSetLeaf sets all valid fields and reports all invalid ones.
func (c *Cluster) handleSetLeaf(w http.ResponseWriter, r *http.Request) {
	u := c.Upstream(anvilmodel.LeafName(r.PathValue("name")))
	if u == nil {
		http.Error(w, "there is no leaf of this name", http.StatusNotFound)
		return
	}
	if err := r.ParseForm(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := setControls(u, r.Form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func setControls(u *Upstream, form url.Values) error {
	var errs []error
	for field, values := range form {
		control := leafControls[field]
		if control == nil {
			errs = append(errs, BadSetting.New("there is no field %q", field))
			continue
		}
		if err := control(u, values[len(values)-1]); err != nil {
			errs = append(errs, BadSetting.Wrap(err, "set field %s", field))
		}
	}
	return errors.Join(errs...)
}

func (c *Cluster) handleLeafStats(w http.ResponseWriter, r *http.Request) {
	u := c.Upstream(anvilmodel.LeafName(r.PathValue("name")))
	if u == nil {
		http.Error(w, "there is no leaf of this name", http.StatusNotFound)
		return
	}
	s := u.Stats()
	counts := map[string]int{
		"calls":               s.Calls,
		"executed":            s.Executed,
		"completed":           s.Completed,
		"shed":                s.Shed,
		"cancelled":           s.Cancelled,
		"expired":             s.Expired,
		"snapshot-gone":       s.SnapshotGone,
		"while-draining":      s.CallsWhileDraining,
		"while-out":           s.CallsWhileOut,
		"peak":                s.Peak,
		"cold-peak":           s.ColdPeak,
		"cold-violations":     s.ColdViolations,
		"state-reads":         s.StateReads,
		"connections-open":    s.ConnectionsOpen,
		"connections-opened":  s.ConnectionsOpened,
		"connections-refused": s.ConnectionsRefused,
		"connections-peak":    s.ConnectionsPeak,
	}
	writeJSON(w, func([]byte) ([]byte, error) {
		return json.Marshal(counts)
	})
}

func (c *Cluster) handleSetDocument(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.configService.SetDocument(r.PathValue("document"), content)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cluster) handleSetVMList(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vms, err := anvilwire.DecodeVMList(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.vmList.Set(vms...)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cluster) handlePublishSnapshot(w http.ResponseWriter, r *http.Request) {
	snapshot, err := strconv.ParseUint(r.FormValue("snapshot"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	shards, err := strconv.Atoi(r.FormValue("shards"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = c.PublishSnapshot(anvilmodel.ServiceName(r.PathValue("service")), anvilmodel.Snapshot(snapshot), shards)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
