// Package anvilcommand is the command line of anvilbridge.
package anvilcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// commands holds every command. Each flag can be set by the environment
// variable ANVILBRIDGE_ and its name in upper case with underscores.
type commands struct {
	Node    nodeCommand    `cmd:"" help:"Run the node of an entry VM."`
	Gateway gatewayCommand `cmd:"" help:"Run a gateway on the users' platform."`
	Explain explainCommand `cmd:"" help:"Print what gateways logged of a request and of the leafs that it names."`
	Check   Check          `cmd:"" help:"Check a base file and its overlays."`
	Render  Render         `cmd:"" help:"Print the effective configuration of a site and the origin of each value."`
	Diff    Diff           `cmd:"" help:"Print the fields that differ between two sets of documents."`
	Query   queryCommand   `cmd:"" help:"Send one query, as a caller would."`
	Status  statusCommand  `cmd:"" help:"Show the state of a node."`
	StandIn standInCommand `cmd:"" name:"stand-in" help:"Run small fakes of the platform and the upstreams in the foreground."`
	Demo    demoCommand    `cmd:"" help:"Run fakes and several nodes in one process and show how they act under load and faults."`

	Capacity capacityCommand `cmd:"" help:"Measure how costs grow with sizes, and compare them with the limits at the design size."`
}

// output is where commands write.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// errReported means that the command has already said what is wrong.
var errReported = errors.New("reported")

// Run executes the command line and returns the exit code: 0, or 1 when the
// command failed or was misused.
func Run(arguments []string, stdout, stderr io.Writer) int {
	exit := -1
	parser, err := kong.New(
		&commands{},
		kong.Name("anvilbridge"),
		kong.Description("A query tier for requests that fan out over many shards."),
		kong.Writers(stdout, stderr),
		kong.BindTo(stdout, (*io.Writer)(nil)),
		kong.DefaultEnvars("ANVILBRIDGE"),
		kong.ConfigureHelp(kong.HelpOptions{
			Compact: true,
		}),
		kong.Exit(func(code int) { exit = code }),
	)
	if err != nil {
		return fail(stderr, err)
	}
	selected, err := parser.Parse(arguments)
	if exit >= 0 {
		// Kong has printed the help.
		return exit
	}
	if err != nil {
		return fail(stderr, err)
	}
	out := &output{
		stdout: stdout,
		stderr: stderr,
	}
	err = selected.Run(out)
	if errors.Is(err, errReported) {
		return 1
	}
	if err != nil {
		return fail(stderr, err)
	}
	return 0
}

func fail(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintln(stderr, "anvilbridge:", err)
	return 1
}
