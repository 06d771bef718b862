package anvilrevision

import (
	"fmt"

	"anvilbridge/anvilmodel"
)

// joining decides when a fresh node may serve. A node that knows only what the
// service gave it may hold a stale configuration, and would revert the fleet's
// for its callers.
type joining struct {
	ready       bool
	serviceRead bool
	listRead    bool
	listed      []anvilmodel.VMName
	peers       map[anvilmodel.VMName]peerRevision
}

type peerRevision struct {
	version uint64
	serving bool
}

func newJoining() joining {
	return joining{
		peers: make(map[anvilmodel.VMName]peerRevision),
	}
}

func (j *joining) exchanged(peer anvilmodel.VMName, version uint64, serving bool) {
	if j.ready {
		return
	}
	j.peers[peer] = peerRevision{
		version: version,
		serving: serving,
	}
}

// mayServe returns why the node may serve with the version in force, or "".
func (j *joining) mayServe(inForce uint64, serveAlone bool) string {
	for name, peer := range j.peers {
		if peer.serving && peer.version != 0 && peer.version <= inForce {
			return "exchanged revisions with serving node " + string(name)
		}
	}
	if serveAlone {
		return "the operator allowed serving alone"
	}
	if !j.listRead {
		return ""
	}
	if len(j.listed) == 0 {
		return "the VM list names no other live VM"
	}
	fresh := 0
	for _, name := range j.listed {
		peer, ok := j.peers[name]
		if ok && peer.serving {
			return ""
		}
		if ok && peer.version <= inForce {
			fresh++
		}
	}
	// This node counts as one of the listed VMs.
	total := len(j.listed) + 1
	if 2*(fresh+1) > total && j.serviceRead {
		return fmt.Sprintf("exchanged revisions with %d of %d other listed VMs, none serving yet", fresh, len(j.listed))
	}
	return ""
}
