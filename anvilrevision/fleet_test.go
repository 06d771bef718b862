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
	// bound is the time within which a change has to be in force everywhere.
	bound = 7 * time.Second
	delay = 2 * time.Millisecond
	// judging is the time to judge 1 MB, as measured.
	judging = 250 * time.Millisecond
	// exchangeBytes is the encoded size of an announcement or its reply.
	exchangeBytes = 90
)

// judge finds documents faulty that begin with "bad".
func judge(documents []anvilconfig.Document) anvilrevision.Validation {
	if bytes.HasPrefix(documents[0].Content, []byte("bad")) {
		return anvilrevision.Validation{Findings: anvilconfig.Findings{{Message: "first"}, {Message: "second"}}}
	}
	return anvilrevision.Validation{Release: &anvilconfig.Release{}}
}

func text(content string) []anvilconfig.Document {
	return []anvilconfig.Document{{Name: "base", Content: []byte(content)}}
}

// vm is a place in the fleet; a replacement of its process has another keeper.
type vm struct {
	*anvilrevision.Manager
	name     anvilmodel.VMName
	watching bool
	side     int // nodes of different sides do not reach each other
	paused   time.Time
	applied  uint64
	findings map[uint64]int
	events   map[anvilrevision.ActionKind]int
	bytes    int // sent, without the framing of the transport
	hops     int
}

type event struct {
	at   time.Time
	call func()
}

// fleet passes messages between keepers under a virtual clock, and checks at
// every step that none of them reverts or applies a refused revision.
type fleet struct {
	t      rapid.TB
	now    time.Time
	random *rand.Rand
	queue  []event
	vms    []*vm
	loss   float64
	reads  map[int64]int // by second
	// hook sees every action; tamper may change or delay an answer to a fetch.
	hook   func(v *vm, a anvilrevision.Action)
	tamper func(w *vm, m *anvilrevision.Manifest, chunks [][]byte) time.Duration

	version      uint64
	documents    []anvilconfig.Document
	serviceDown  bool
	serviceDelay time.Duration
}

func newFleet(t rapid.TB, count int, seed uint64) *fleet {
	f := &fleet{
		t:      t,
		now:    time.Unix(1_000_000, 0),
		random: rand.New(rand.NewPCG(seed, 9)),
		reads:  make(map[int64]int),
		hook:   func(*vm, anvilrevision.Action) {},
		tamper: func(*vm, *anvilrevision.Manifest, [][]byte) time.Duration { return 0 },
	}
	for i := range count {
		f.vms = append(f.vms, &vm{name: anvilmodel.VMName(fmt.Sprintf("vm-%03d", i)), watching: i < 3})
	}
	for _, v := range f.vms {
		f.replace(v)
	}
	return f
}

// replace starts a fresh process, which has read the list.
func (f *fleet) replace(v *vm) {
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	v.Manager = anvilrevision.New(anvilrevision.Config{Self: v.name, Validate: judge, Random: random}, f.now)
	v.applied, v.findings, v.events = 0, make(map[uint64]int), make(map[anvilrevision.ActionKind]int)
	others := []anvilmodel.VMName{}
	for _, w := range f.vms {
		if w != v {
			others = append(others, w.name)
		}
	}
	f.do(v, v.SetVMList(others, nil, f.now))
	start := time.Duration(f.random.Int64N(int64(250 * time.Millisecond)))
	f.every(v, start, 250*time.Millisecond, func() {
		f.do(v, v.Tick(f.now))
		if v.watching {
			f.read(v, v.ReadAfterVersion(f.now))
		}
	})
	f.every(v, 4*start, time.Second, func() { f.probe(v, f.vms[f.random.IntN(len(f.vms))]) })
}

// on calls at a VM unless its process has been replaced; a paused one is called
// when it resumes.
func (f *fleet) on(v *vm, d time.Duration, call func()) {
	at, process := f.now.Add(d), v.Manager
	i, _ := slices.BinarySearchFunc(f.queue, at, func(e event, at time.Time) int {
		return 2*e.at.Compare(at) - 1 // after those of the same time
	})
	f.queue = slices.Insert(f.queue, i, event{at: at, call: func() {
		switch {
		case v.Manager != process:
		case f.now.Before(v.paused):
			f.on(v, v.paused.Sub(f.now), call)
		default:
			call()
		}
	}})
}

func (f *fleet) every(v *vm, start, period time.Duration, call func()) {
	f.on(v, start, func() { call(); f.every(v, period, period, call) })
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := f.queue[0]
		f.queue = f.queue[1:]
		f.now = e.at
		e.call()
	}
	f.now = end
}

// within runs until the condition holds and returns the time that took.
func (f *fleet) within(limit time.Duration, what string, holds func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !holds() {
		if f.now.Sub(start) > limit {
			for _, v := range f.vms {
				what += fmt.Sprintf("\n%s: version %d, waits for %q", v.name, v.Active().Version, v.NotReadyReason())
			}
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(start)
}

// serves reports whether all nodes that run serve the version.
func (f *fleet) serves(version uint64) bool {
	return !slices.ContainsFunc(f.vms, func(v *vm) bool {
		return f.now.After(v.paused) && (v.Active().Version != version || !v.Ready())
	})
}

// settles waits until all nodes that run serve the version.
func (f *fleet) settles(version uint64) time.Duration {
	f.t.Helper()
	return f.within(bound, fmt.Sprintf("version %d in force everywhere", version), func() bool { return f.serves(version) })
}

// split puts each node on a side.
func (f *fleet) split(sides ...int) {
	for i, side := range sides {
		f.vms[i].side = side
	}
}

func (f *fleet) publish(version uint64, content string) {
	f.version, f.documents = version, text(content)
}

// change publishes and waits until the change is in force everywhere.
func (f *fleet) change(version uint64, content string) {
	f.t.Helper()
	f.publish(version, content)
	f.settles(version)
}

func (f *fleet) offer(v *vm) {
	f.do(v, v.HandleDocuments(f.version, f.documents, f.now, f.now))
}

func (f *fleet) read(v *vm, after uint64) {
	if f.serviceDown {
		return
	}
	sent, version, documents := f.now, f.version, f.documents
	f.on(v, delay+f.serviceDelay, func() {
		if version <= after {
			f.do(v, v.HandleNotModified(after, sent, f.now))
			return
		}
		f.do(v, v.HandleDocuments(version, documents, sent, f.now))
	})
}

func (f *fleet) named(name anvilmodel.VMName) *vm {
	return f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.name == name })]
}

// call delivers a request and its reply, or reports a failure after the timeout.
// serve returns how late the reply is and what to do with it.
func (f *fleet) call(from, to *vm, timeout time.Duration, serve func() (time.Duration, func()), fail func()) {
	over := false
	end := func(d time.Duration, call func()) {
		f.on(from, d, func() {
			if !over {
				over = true
				call()
			}
		})
	}
	end(timeout, fail)
	lost := func() bool { return f.random.Float64() < f.loss || to.side != from.side }
	if lost() {
		return
	}
	f.on(to, delay, func() {
		if late, reply := serve(); !lost() {
			end(delay+late, reply)
		}
	})
}

// roundTrip carries what each has to tell to the other.
func (f *fleet) roundTrip(v, w *vm, tell func(from, to *vm) func(), fail func()) {
	request := tell(v, w)
	f.call(v, w, time.Second, func() (time.Duration, func()) {
		reply := tell(w, v)
		request()
		return 0, reply
	}, fail)
}

func (f *fleet) probe(v, w *vm) {
	f.roundTrip(v, w, func(from, to *vm) func() {
		version, serving := from.Active().Version, from.Ready()
		return func() { f.do(to, to.HandleProbe(from.name, version, serving, f.now)) }
	}, func() {})
}

func (f *fleet) exchange(v, w *vm) {
	f.roundTrip(v, w, func(from, to *vm) func() {
		from.bytes += exchangeBytes
		state := from.State()
		return func() { f.do(to, to.HandlePeerState(from.name, state, f.now)) }
	}, func() { f.do(v, v.HandleExchangeFailure(w.name, f.now)) })
}

func (f *fleet) fetch(v, w *vm, a anvilrevision.Action) {
	v.bytes += 18 * len(a.Chunks)
	f.call(v, w, a.Timeout, func() (time.Duration, func()) {
		if a.Kind == anvilrevision.ActionFetchManifest {
			m := w.Manifest(a.Revision.Version)
			for _, d := range m.Documents {
				w.bytes += 50 + 18*len(d.Chunks)
			}
			late := f.tamper(w, &m, nil)
			return late, func() { f.do(v, v.HandleManifest(w.name, m, f.now)) }
		}
		chunks := [][]byte{}
		for _, h := range a.Chunks {
			if c := w.Chunk(h); c != nil {
				chunks = append(chunks, c)
				w.bytes += 4 + len(c)
			}
		}
		late := f.tamper(w, nil, chunks)
		return late, func() { f.do(v, v.HandleChunks(w.name, a.Chunks, chunks, f.now)) }
	}, func() { f.do(v, v.HandleFetchFailure(w.name, f.now)) })
}

// do carries out actions.
func (f *fleet) do(v *vm, actions []anvilrevision.Action) {
	f.t.Helper()
	for _, a := range actions {
		v.events[a.Kind]++
		f.hook(v, a)
		switch a.Kind {
		case anvilrevision.ActionRunTask:
			result := a.Task.Run()
			f.on(v, judging, func() { f.do(v, v.HandleTaskResult(result, f.now)) })
		case anvilrevision.ActionApply:
			if a.Release == nil || a.Revision.Version < v.applied || (a.Revision.Version == v.applied && v.events[anvilrevision.ActionReady] > 0) {
				f.t.Fatalf("%s applied version %d after %d, release %v", v.name, a.Revision.Version, v.applied, a.Release)
			}
			v.applied = a.Revision.Version
			if a.Source.Peer != "" {
				v.hops = f.named(a.Source.Peer).hops + 1
			}
		case anvilrevision.ActionExchangeState:
			for _, i := range f.random.Perm(len(f.vms))[:min(a.PeerCount, len(f.vms))] {
				f.exchange(v, f.vms[i])
			}
			if a.Peer != "" {
				f.exchange(v, f.named(a.Peer))
			}
		case anvilrevision.ActionFetchManifest, anvilrevision.ActionFetchChunks:
			f.fetch(v, f.named(a.Peer), a)
		case anvilrevision.ActionReadService:
			f.reads[f.now.Unix()]++
			f.read(v, a.AfterVersion)
		case anvilrevision.ActionReportRefused:
			v.findings[a.Revision.Version] += len(a.Findings)
		}
	}
}

// run carries out the tasks among actions at once.
func run(k *anvilrevision.Manager, actions []anvilrevision.Action, now time.Time) {
	for _, a := range actions {
		if a.Kind == anvilrevision.ActionRunTask {
			run(k, k.HandleTaskResult(a.Task.Run(), now), now)
		}
	}
}
