package anvildemo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"anvilbridge/anvilmodel"
)

const (
	// domainStopLimit is how long after a change a failure domain that is taken
	// out may still receive new work.
	domainStopLimit = 4 * time.Second
	// revisionLimit is how long a change may take to be in force everywhere.
	revisionLimit = 7 * time.Second
	startLimit    = 20 * time.Second
	// coldRestart is how long a restarted leaf stays cold.
	coldRestart = 1500 * time.Millisecond
)

// Config sets up a demo.
type Config struct {
	// Nodes is the number of nodes; 4 by default.
	Nodes int
	// PhaseLength is how long each phase of the load lasts; 4 s by default.
	PhaseLength time.Duration
	// Seed feeds the random choices of the load and the stand-ins.
	Seed   uint64
	Output io.Writer
	Log    zerolog.Logger
}

// Run runs the demo and prints a table. It returns the number of invariants
// that were broken, or an error when the fleet could not be started.
func Run(ctx context.Context, c Config) (int, error) {
	if c.Nodes == 0 {
		c.Nodes = 4
	}
	if c.PhaseLength == 0 {
		c.PhaseLength = 4 * time.Second
	}
	f, err := startFleet(c.Nodes, c.Seed, c.Log)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	ready, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.awaitReady(ready); err != nil {
		return 0, err
	}
	d := &demo{
		config: c,
		fleet:  f,
		load:   newLoad(f),
		report: newReport(c.Output),
	}
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	d.load.start(loadContext)
	if err := d.runPhases(ctx); err != nil {
		stopLoad()
		d.load.wait()
		return 0, err
	}
	stopLoad()
	d.load.wait()
	d.checkRuns()
	return d.report.finish(), nil
}

type demo struct {
	config Config
	fleet  *fleet
	load   *load
	report *report
	claims []anvilmodel.RequestID
}

func (d *demo) runPhases(ctx context.Context) error {
	d.phase(ctx, "warm-up", nil)
	d.phase(ctx, "steady", nil)
	slow := d.fleet.cluster.Upstream("registry-portal-3-0")
	d.phase(ctx, "one slow leaf", func() { slow.SetServiceDelay(80 * time.Millisecond) })
	slow.SetServiceDelay(0)
	d.phase(ctx, "leaf restarts cold", d.restartCold)
	if err := d.takeOut(ctx); err != nil {
		return err
	}
	if err := d.bringBack(ctx); err != nil {
		return err
	}
	return d.shutDown(ctx)
}

// phase changes something and records what the callers see for the length of a
// phase.
func (d *demo) phase(ctx context.Context, name string, change func()) {
	if change != nil {
		change()
	}
	d.load.next()
	before := d.fleet.counters()
	sleep(ctx, d.config.PhaseLength)
	results := d.load.next()
	d.report.phase(name, results, before, d.fleet.counters())
	for _, r := range results {
		r.mu.Lock()
		d.claims = append(d.claims, r.claims...)
		for _, fault := range r.broken {
			d.report.broken("whole, own, consistent answers", fault)
		}
		if r.failures > 0 {
			d.report.broken("no request is cut off", fmt.Sprintf("%d requests in phase %q failed without an answer", r.failures, name))
		}
		r.mu.Unlock()
	}
}

// restartCold restarts a leaf as a cold process and checks in the background
// that it gets no more than it can bear.
func (d *demo) restartCold() {
	leaf := d.fleet.cluster.Upstream("registry-portal-5-0")
	leaf.Stop()
	leaf.ReplaceProcess()
	leaf.ResetStats()
	if err := leaf.Start(); err != nil {
		d.report.broken("stand-ins run", err.Error())
		return
	}
	time.AfterFunc(coldRestart, func() {
		stats := leaf.Stats()
		leaf.SetCold(false)
		d.report.check("a cold leaf gets no more than it can bear", stats.ColdViolations == 0,
			fmt.Sprintf("%d calls above the bound, peak %d, %d calls", stats.ColdViolations, stats.ColdPeak, stats.Calls))
	})
}

// takeOut takes a failure domain out.
func (d *demo) takeOut(ctx context.Context) error {
	const domain = "fd-2"
	if err := d.publish(ctx, domain); err != nil {
		return err
	}
	time.AfterFunc(domainStopLimit-time.Second, func() { d.setOut(domain, true) })
	d.phase(ctx, "failure domain out", nil)
	sleep(ctx, domainStopLimit)
	calls := 0
	for _, leaf := range d.fleet.cluster.Leafs() {
		calls += d.fleet.cluster.Upstream(leaf.Name).Stats().CallsWhileOut
	}
	d.report.check("a failure domain that is out gets no new work after 4 s", calls == 0, fmt.Sprintf("%d calls", calls))
	d.setOut(domain, false)
	return nil
}

func (d *demo) setOut(domain anvilmodel.FailureDomain, out bool) {
	for _, leaf := range d.fleet.cluster.Leafs() {
		if leaf.FailureDomain == domain {
			d.fleet.cluster.Upstream(leaf.Name).SetFailureDomainOut(out)
		}
	}
}

func (d *demo) bringBack(ctx context.Context) error {
	if err := d.publish(ctx, ""); err != nil {
		return err
	}
	d.phase(ctx, "failure domain returned", nil)
	return nil
}

// publish changes the overlay and waits until it is in force everywhere.
func (d *demo) publish(ctx context.Context, out anvilmodel.FailureDomain) error {
	version := d.fleet.cluster.Config().SetDocument(overlayDocument, []byte(overlayText(out)))
	limit, cancel := context.WithTimeout(ctx, revisionLimit)
	defer cancel()
	took, err := d.fleet.awaitRevision(limit, version)
	if err != nil {
		d.report.broken("a change is in force everywhere within 7 s", err.Error())
		return err
	}
	d.report.check("a change is in force everywhere within 7 s", true, took.Round(time.Millisecond).String())
	return nil
}

// shutDown shuts one node down under load.
func (d *demo) shutDown(ctx context.Context) error {
	member := d.fleet.members[0]
	cut := make(chan int, 1)
	go func() { cut <- member.node.Shutdown(ctx, "demo") }()
	d.phase(ctx, "one node shuts down", nil)
	count := <-cut
	d.report.check("a graceful shutdown cuts off no request", count == 0, fmt.Sprintf("%d cut off", count))
	return nil
}

// checkRuns compares what ran at the leafs with what callers were told.
func (d *demo) checkRuns() {
	runs := make(map[anvilmodel.RequestID]int)
	for execution, count := range d.fleet.cluster.Executions() {
		runs[execution.Request] += count
	}
	twice := 0
	for _, count := range runs {
		if count > 1 {
			twice++
		}
	}
	d.report.check("a non-idempotent request runs at most once", twice == 0, fmt.Sprintf("%d of %d ran twice", twice, len(runs)))
	wrong := 0
	for _, id := range d.claims {
		if runs[id] > 0 {
			wrong++
		}
	}
	d.report.check("a refusal that says not-run is true", wrong == 0, fmt.Sprintf("%d of %d were false", wrong, len(d.claims)))
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
