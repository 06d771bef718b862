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
	// domainOutLimit is the maximum time for which a failure domain may still receive
	// new work after a configuration change has taken it out.
	domainOutLimit = 4 * time.Second
	// revisionTimeout is the maximum time until a configuration change is in force
	// on all nodes.
	revisionTimeout = 7 * time.Second
	startTimeout    = 20 * time.Second
	// coldRestartDuration is how long a leaf stays cold after its restart.
	coldRestartDuration = 1500 * time.Millisecond
)

// Config holds the settings of a demo.
type Config struct {
	// Nodes is the number of nodes; 4 by default.
	Nodes int
	// PhaseLength is the duration of each phase; 4 s by default.
	PhaseLength time.Duration
	// Seed is the seed of the random choices of the load, the nodes and the fakes.
	Seed   uint64
	Output io.Writer
	Log    zerolog.Logger
}

// Run runs the demo and prints a table for each phase and the checked invariants.
// It returns the number of violated invariants, or an error if the fleet does not
// start or a configuration change is not in force in time.
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
	startContext, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.awaitReady(startContext); err != nil {
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
	d.checkExecutions()
	return d.report.finish(), nil
}

type demo struct {
	config       Config
	fleet        *fleet
	load         *load
	report       *report
	notRunClaims []anvilmodel.RequestID
}

func (d *demo) runPhases(ctx context.Context) error {
	d.runPhase(ctx, "warm-up", nil)
	d.runPhase(ctx, "steady", nil)
	slowLeaf := d.fleet.cluster.Upstream("registry-portal-3-0")
	d.runPhase(ctx, "one slow leaf", func() { slowLeaf.SetServiceDelay(80 * time.Millisecond) })
	slowLeaf.SetServiceDelay(0)
	d.runPhase(ctx, "leaf restarts cold", d.restartLeafCold)
	if err := d.takeDomainOut(ctx); err != nil {
		return err
	}
	if err := d.returnDomain(ctx); err != nil {
		return err
	}
	return d.shutDownNode(ctx)
}

// runPhase makes the change, if there is one, and then records for the duration of
// a phase what the callers observe.
func (d *demo) runPhase(ctx context.Context, name string, change func()) {
	if change != nil {
		change()
	}
	d.load.nextPhase()
	before := d.fleet.counters()
	sleep(ctx, d.config.PhaseLength)
	results := d.load.nextPhase()
	d.report.printPhase(name, results, before, d.fleet.counters())
	for _, r := range results {
		r.mu.Lock()
		d.notRunClaims = append(d.notRunClaims, r.notRunClaims...)
		for _, violation := range r.violations {
			d.report.addFailure("whole, own, consistent answers", violation)
		}
		if r.failed > 0 {
			d.report.addFailure("no request is cut off", fmt.Sprintf("%d requests in phase %q failed without an answer", r.failed, name))
		}
		r.mu.Unlock()
	}
}

// restartLeafCold restarts a leaf as a cold process and checks in the background
// that it does not get more calls than a cold leaf can handle.
func (d *demo) restartLeafCold() {
	leaf := d.fleet.cluster.Upstream("registry-portal-5-0")
	leaf.Stop()
	leaf.ReplaceProcess()
	leaf.ResetStats()
	if err := leaf.Start(); err != nil {
		d.report.addFailure("stand-ins run", err.Error())
		return
	}
	time.AfterFunc(coldRestartDuration, func() {
		stats := leaf.Stats()
		leaf.SetCold(false)
		d.report.addCheck("a cold leaf gets no more than it can bear", stats.ColdViolations == 0,
			fmt.Sprintf("%d calls above the bound, peak %d, %d calls", stats.ColdViolations, stats.ColdPeak, stats.Calls))
	})
}

// takeDomainOut takes a failure domain out and checks that its leaves get no more
// calls. It starts to count calls 1 s before domainOutLimit has passed since the
// change came into force on all nodes.
func (d *demo) takeDomainOut(ctx context.Context) error {
	const domain = "fd-2"
	if err := d.publishOverlay(ctx, domain); err != nil {
		return err
	}
	time.AfterFunc(domainOutLimit-time.Second, func() { d.setDomainOut(domain, true) })
	d.runPhase(ctx, "failure domain out", nil)
	sleep(ctx, domainOutLimit)
	calls := 0
	for _, leaf := range d.fleet.cluster.Leaves() {
		calls += d.fleet.cluster.Upstream(leaf.Name).Stats().CallsWhileOut
	}
	d.report.addCheck("a failure domain that is out gets no new work after 4 s", calls == 0, fmt.Sprintf("%d calls", calls))
	d.setDomainOut(domain, false)
	return nil
}

// setDomainOut sets on the leaves of a failure domain whether it is out, so that they
// count the calls that they receive meanwhile.
func (d *demo) setDomainOut(domain anvilmodel.FailureDomain, out bool) {
	for _, leaf := range d.fleet.cluster.Leaves() {
		if leaf.FailureDomain == domain {
			d.fleet.cluster.Upstream(leaf.Name).SetFailureDomainOut(out)
		}
	}
}

// returnDomain brings the failure domain that is out back into service.
func (d *demo) returnDomain(ctx context.Context) error {
	if err := d.publishOverlay(ctx, ""); err != nil {
		return err
	}
	d.runPhase(ctx, "failure domain returned", nil)
	return nil
}

// publishOverlay publishes the overlay that takes the given failure domain out, or
// none if it is empty, and waits until it is in force on all nodes.
func (d *demo) publishOverlay(ctx context.Context, out anvilmodel.FailureDomain) error {
	version := d.fleet.cluster.Config().SetDocument(overlayDocument, []byte(overlayFile(out)))
	waitContext, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	elapsed, err := d.fleet.awaitRevision(waitContext, version)
	if err != nil {
		d.report.addFailure("a change is in force everywhere within 7 s", err.Error())
		return err
	}
	d.report.addCheck("a change is in force everywhere within 7 s", true, elapsed.Round(time.Millisecond).String())
	return nil
}

// shutDownNode shuts one node down under load and checks that it cuts off no
// requests.
func (d *demo) shutDownNode(ctx context.Context) error {
	first := d.fleet.nodes[0]
	cutOff := make(chan int, 1)
	go func() { cutOff <- first.node.Shutdown(ctx, "demo") }()
	d.runPhase(ctx, "one node shuts down", nil)
	count := <-cutOff
	d.report.addCheck("a graceful shutdown cuts off no request", count == 0, fmt.Sprintf("%d cut off", count))
	return nil
}

// checkExecutions compares the executions that the leaves recorded with the
// refusals that callers received.
func (d *demo) checkExecutions() {
	starts := make(map[anvilmodel.RequestID]int)
	for execution, count := range d.fleet.cluster.Executions() {
		starts[execution.Request] += count
	}
	duplicates := 0
	for _, count := range starts {
		if count > 1 {
			duplicates++
		}
	}
	d.report.addCheck("a non-idempotent request runs at most once", duplicates == 0, fmt.Sprintf("%d of %d ran twice", duplicates, len(starts)))
	falseClaims := 0
	for _, id := range d.notRunClaims {
		if starts[id] > 0 {
			falseClaims++
		}
	}
	d.report.addCheck("a refusal that says not-run is true", falseClaims == 0, fmt.Sprintf("%d of %d were false", falseClaims, len(d.notRunClaims)))
}

// sleep waits for the given time or until the context ends.
func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
