package anvilcapacity

import (
	"context"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("anvilcapacity")

var (
	// UnknownMeasurement means that there is no measurement of that name.
	UnknownMeasurement = Errors.NewType("unknown-measurement")
	// Failed means that a measurement could not be carried out.
	Failed = Errors.NewType("failed")
)

// Config says what to measure.
type Config struct {
	// Only names the one measurement to run; empty runs all.
	Only string
	// Seed feeds the random choices.
	Seed uint64
}

// Report is the outcome of a run.
type Report struct {
	// Commit is the revision that the program was built from, if it is known.
	Commit     string
	GoVersion  string
	Processors int
	Took       time.Duration
	Slopes     []Slope
	// Budgets are left out if only one measurement was run.
	Budgets []Budget
}

// measurement is a group of slopes that are measured together.
type measurement struct {
	name string
	run  func(ctx context.Context, seed uint64) ([]Slope, error)
}

func measurements() []measurement {
	return []measurement{
		{name: "membership", run: measureMembership},
		{name: "peer", run: measurePeer},
		{name: "copy", run: measureCopy},
		{name: "routes", run: measureRoutes},
		{name: "address", run: measureAddresses},
		{name: "balance", run: measureBalance},
		{name: "connections", run: measureConnections},
		{name: "gather", run: measureGather},
	}
}

// Names returns the names of the measurements.
func Names() []string {
	names := []string{}
	for _, m := range measurements() {
		names = append(names, m.name)
	}
	return names
}

// Run measures. It returns UnknownMeasurement, Failed or the context's error.
func Run(ctx context.Context, c Config) (*Report, error) {
	if c.Only != "" && !slices.Contains(Names(), c.Only) {
		return nil, UnknownMeasurement.New("there is no measurement %q, only %s", c.Only, strings.Join(Names(), ", "))
	}
	started := time.Now()
	r := &Report{
		Commit:     commit(),
		GoVersion:  runtime.Version(),
		Processors: runtime.GOMAXPROCS(0),
	}
	for _, m := range measurements() {
		if c.Only != "" && c.Only != m.name {
			continue
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		slopes, err := m.run(ctx, c.Seed)
		if err != nil {
			return nil, Failed.Wrap(err, "measuring %s", m.name)
		}
		for i := range slopes {
			slopes[i].finish()
		}
		r.Slopes = append(r.Slopes, slopes...)
	}
	if c.Only == "" {
		r.Budgets = budgets(r.Slopes)
	}
	r.Took = time.Since(started)
	return r, nil
}

// commit returns the revision of the build, with "+" if files had changed.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	revision, changed := "", ""
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value[:min(len(s.Value), 12)]
		case "vcs.modified":
			if s.Value == "true" {
				changed = "+"
			}
		}
	}
	return revision + changed
}
