package anvilrevision_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilmodel"
	"anvilbridge/anvilrevision"
)

const (
	// convergenceLimit is the time within which a change has to be active on all
	// nodes.
	convergenceLimit = 7 * time.Second
	messageDelay     = 2 * time.Millisecond
	// validationTime is the measured time to validate 1 MB.
	validationTime = 250 * time.Millisecond
	// exchangeBytes is the encoded size of a state message.
	exchangeBytes = 90
)

// validate reports two findings for documents that begin with "bad".
func validate(documents []anvilconfig.Document) anvilrevision.Validation {
	if bytes.HasPrefix(documents[0].Content, []byte("bad")) {
		return anvilrevision.Validation{Findings: anvilconfig.Findings{{Message: "first"}, {Message: "second"}}}
	}
	return anvilrevision.Validation{Configuration: &anvilconfig.Configuration{}}
}

func documentWith(content string) []anvilconfig.Document {
	return []anvilconfig.Document{{Name: "base", Content: []byte(content)}}
}

// vm is a VM of the fleet. Each process that runs on it has its own Manager.
type vm struct {
	*anvilrevision.Manager
	name           anvilmodel.VMName
	watchesService bool
	partition      int // nodes in different partitions cannot reach each other
	pausedUntil    time.Time
	appliedVersion uint64
	findingCounts  map[uint64]int
	actionCounts   map[anvilrevision.ActionKind]int
	bytesSent      int // without the framing of the transport
	hops           int // peer transfers between the configuration service and this node
}

type scheduledCall struct {
	at   time.Time
	call func()
}

// fleet simulates nodes that exchange messages under a virtual clock. It checks with
// every action that no node reverts to an older revision or applies a refused one.
type fleet struct {
	t              rapid.TB
	now            time.Time
	random         *rand.Rand
	queue          []scheduledCall
	vms            []*vm
	lossRate       float64
	readsPerSecond map[int64]int // by Unix time
	// onAction is called with every action. tamperReply may change the reply to a
	// fetch, and returns by how long the reply is delayed.
	onAction    func(v *vm, a anvilrevision.Action)
	tamperReply func(w *vm, m *anvilrevision.Manifest, chunks [][]byte) time.Duration

	version      uint64
	documents    []anvilconfig.Document
	serviceDown  bool
	serviceDelay time.Duration
}

func newFleet(t rapid.TB, count int, seed uint64) *fleet {
	f := &fleet{
		t:              t,
		now:            time.Unix(1_000_000, 0),
		random:         rand.New(rand.NewPCG(seed, 9)),
		readsPerSecond: make(map[int64]int),
		onAction:       func(*vm, anvilrevision.Action) {},
		tamperReply:    func(*vm, *anvilrevision.Manifest, [][]byte) time.Duration { return 0 },
	}
	for i := range count {
		f.vms = append(f.vms, &vm{name: anvilmodel.VMName(fmt.Sprintf("vm-%03d", i)), watchesService: i < 3})
	}
	for _, v := range f.vms {
		f.startProcess(v)
	}
	return f
}

// startProcess starts a new process on a VM, in place of the old one, and passes it
// the VM list.
func (f *fleet) startProcess(v *vm) {
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	v.Manager = anvilrevision.New(anvilrevision.Config{Self: v.name, Validate: validate, Random: random}, f.now)
	v.appliedVersion, v.findingCounts, v.actionCounts = 0, make(map[uint64]int), make(map[anvilrevision.ActionKind]int)
	others := []anvilmodel.VMName{}
	for _, w := range f.vms {
		if w != v {
			others = append(others, w.name)
		}
	}
	f.runActions(v, v.SetVMList(others, nil, f.now))
	start := time.Duration(f.random.Int64N(int64(250 * time.Millisecond)))
	f.scheduleEvery(v, start, 250*time.Millisecond, func() {
		f.runActions(v, v.Tick(f.now))
		if v.watchesService {
			f.readService(v, v.ReadAfterVersion(f.now))
		}
	})
	f.scheduleEvery(v, 4*start, time.Second, func() { f.probe(v, f.vms[f.random.IntN(len(f.vms))]) })
}

// schedule runs call on a VM after d, or when the VM resumes if it is paused. A call is
// dropped if the process has been replaced by then.
func (f *fleet) schedule(v *vm, d time.Duration, call func()) {
	at, process := f.now.Add(d), v.Manager
	i, _ := slices.BinarySearchFunc(f.queue, at, func(e scheduledCall, at time.Time) int {
		return 2*e.at.Compare(at) - 1 // after the calls scheduled for the same time
	})
	f.queue = slices.Insert(f.queue, i, scheduledCall{at: at, call: func() {
		switch {
		case v.Manager != process:
		case f.now.Before(v.pausedUntil):
			f.schedule(v, v.pausedUntil.Sub(f.now), call)
		default:
			call()
		}
	}})
}

func (f *fleet) scheduleEvery(v *vm, start, period time.Duration, call func()) {
	f.schedule(v, start, func() { call(); f.scheduleEvery(v, period, period, call) })
}

func (f *fleet) advance(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.now = e.at
		e.call()
	}
	f.now = end
}

// awaitCondition advances the clock until the condition holds and returns the elapsed
// time.
func (f *fleet) awaitCondition(limit time.Duration, description string, holds func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !holds() {
		if f.now.Sub(start) > limit {
			for _, v := range f.vms {
				description += fmt.Sprintf("\n%s: version %d, not ready because %q", v.name, v.Active().Version, v.NotReadyReason())
			}
			f.t.Fatalf("condition not met within %v: %s", limit, description)
		}
		f.advance(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

// allServe reports whether all nodes that are not paused serve the version.
func (f *fleet) allServe(version uint64) bool {
	return !slices.ContainsFunc(f.vms, func(v *vm) bool {
		return f.now.After(v.pausedUntil) && (v.Active().Version != version || !v.Ready())
	})
}

// awaitVersion waits until all nodes that are not paused serve the version.
func (f *fleet) awaitVersion(version uint64) time.Duration {
	f.t.Helper()
	return f.awaitCondition(convergenceLimit, fmt.Sprintf("version %d active on all nodes", version), func() bool { return f.allServe(version) })
}

// setPartitions assigns a network partition to each node.
func (f *fleet) setPartitions(partitions ...int) {
	for i, partition := range partitions {
		f.vms[i].partition = partition
	}
}

// publish sets the documents that the configuration service returns.
func (f *fleet) publish(version uint64, content string) {
	f.version, f.documents = version, documentWith(content)
}

// publishAndAwait publishes a change and waits until it is active on all nodes.
func (f *fleet) publishAndAwait(version uint64, content string) {
	f.t.Helper()
	f.publish(version, content)
	f.awaitVersion(version)
}

// deliverDocuments passes the published documents to a node without a read.
func (f *fleet) deliverDocuments(v *vm) {
	f.runActions(v, v.HandleDocuments(f.version, f.documents, f.now, f.now))
}

func (f *fleet) readService(v *vm, after uint64) {
	if f.serviceDown {
		return
	}
	sent, version, documents := f.now, f.version, f.documents
	f.schedule(v, messageDelay+f.serviceDelay, func() {
		if version <= after {
			f.runActions(v, v.HandleNotModified(after, sent, f.now))
			return
		}
		f.runActions(v, v.HandleDocuments(version, documents, sent, f.now))
	})
}

func (f *fleet) vmByName(name anvilmodel.VMName) *vm {
	return f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == name })]
}

// call delivers a request and its reply, or calls fail after the timeout. serve runs
// on the receiver and returns the delay of the reply and the function that handles it.
func (f *fleet) call(from, to *vm, timeout time.Duration, serve func() (time.Duration, func()), fail func()) {
	finished := false
	finish := func(d time.Duration, call func()) {
		f.schedule(from, d, func() {
			if !finished {
				finished = true
				call()
			}
		})
	}
	finish(timeout, fail)
	lost := func() bool { return f.random.Float64() < f.lossRate || to.partition != from.partition }
	if lost() {
		return
	}
	f.schedule(to, messageDelay, func() {
		if late, reply := serve(); !lost() {
			finish(messageDelay+late, reply)
		}
	})
}

// roundTrip delivers a message from v to w and one back as the reply. send returns the
// function that handles the message at the receiver.
func (f *fleet) roundTrip(v, w *vm, send func(from, to *vm) func(), fail func()) {
	request := send(v, w)
	f.call(v, w, time.Second, func() (time.Duration, func()) {
		reply := send(w, v)
		request()
		return 0, reply
	}, fail)
}

func (f *fleet) probe(v, w *vm) {
	f.roundTrip(v, w, func(from, to *vm) func() {
		version, serving := from.Active().Version, from.Ready()
		return func() { f.runActions(to, to.HandleProbe(from.name, version, serving, f.now)) }
	}, func() {})
}

func (f *fleet) exchange(v, w *vm) {
	f.roundTrip(v, w, func(from, to *vm) func() {
		from.bytesSent += exchangeBytes
		state := from.State()
		return func() { f.runActions(to, to.HandlePeerState(from.name, state, f.now)) }
	}, func() { f.runActions(v, v.HandleExchangeFailure(w.name, f.now)) })
}

func (f *fleet) fetch(v, w *vm, a anvilrevision.Action) {
	v.bytesSent += 18 * len(a.Chunks)
	f.call(v, w, a.Timeout, func() (time.Duration, func()) {
		if a.Kind == anvilrevision.ActionFetchManifest {
			m := w.Manifest(a.Revision.Version)
			for _, d := range m.Documents {
				w.bytesSent += 50 + 18*len(d.Chunks)
			}
			late := f.tamperReply(w, &m, nil)
			return late, func() { f.runActions(v, v.HandleManifest(w.name, m, f.now)) }
		}
		chunks := [][]byte{}
		for _, h := range a.Chunks {
			if c := w.Chunk(h); c != nil {
				chunks = append(chunks, c)
				w.bytesSent += 4 + len(c)
			}
		}
		late := f.tamperReply(w, nil, chunks)
		return late, func() { f.runActions(v, v.HandleChunks(w.name, a.Chunks, chunks, f.now)) }
	}, func() { f.runActions(v, v.HandleFetchFailure(w.name, f.now)) })
}

// runActions executes the actions of a node's manager.
func (f *fleet) runActions(v *vm, actions []anvilrevision.Action) {
	f.t.Helper()
	for _, a := range actions {
		v.actionCounts[a.Kind]++
		f.onAction(v, a)
		switch a.Kind {
		case anvilrevision.ActionRunTask:
			result := a.Task.Run()
			f.schedule(v, validationTime, func() { f.runActions(v, v.HandleTaskResult(result, f.now)) })
		case anvilrevision.ActionApply:
			if a.Configuration == nil || a.Revision.Version < v.appliedVersion || (a.Revision.Version == v.appliedVersion && v.actionCounts[anvilrevision.ActionReady] > 0) {
				f.t.Fatalf("%s applied version %d after %d, configuration %v", v.name, a.Revision.Version, v.appliedVersion, a.Configuration)
			}
			v.appliedVersion = a.Revision.Version
			if a.Source.Peer != "" {
				v.hops = f.vmByName(a.Source.Peer).hops + 1
			}
		case anvilrevision.ActionExchangeState:
			for _, i := range f.random.Perm(len(f.vms))[:min(a.PeerCount, len(f.vms))] {
				f.exchange(v, f.vms[i])
			}
			if a.Peer != "" {
				f.exchange(v, f.vmByName(a.Peer))
			}
		case anvilrevision.ActionFetchManifest, anvilrevision.ActionFetchChunks:
			f.fetch(v, f.vmByName(a.Peer), a)
		case anvilrevision.ActionReadService:
			f.readsPerSecond[f.now.Unix()]++
			f.readService(v, a.AfterVersion)
		case anvilrevision.ActionReportRefused:
			v.findingCounts[a.Revision.Version] += len(a.Findings)
		}
	}
}

// runTasks runs the tasks among actions immediately and ignores other actions.
func runTasks(m *anvilrevision.Manager, actions []anvilrevision.Action, now time.Time) {
	for _, a := range actions {
		if a.Kind == anvilrevision.ActionRunTask {
			runTasks(m, m.HandleTaskResult(a.Task.Run(), now), now)
		}
	}
}
