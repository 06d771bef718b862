// Package anvilcommand implements the command line of anvilbridge.
package anvilcommand

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// commands defines all commands. Each flag can also be set by an environment
// variable: the prefix ANVILBRIDGE_ followed by the name of the flag in upper
// case, with underscores for hyphens.
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

// output holds the output streams of a command.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// errAlreadyReported is returned by commands that have printed the error
// themselves.
var errAlreadyReported = errors.New("reported")

// Run runs the command line and returns the exit code: 0 on success, or 1 if the
// command failed or the arguments are invalid.
func Run(arguments []string, stdout, stderr io.Writer) int {
	exitCode := -1
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
		kong.Exit(func(code int) { exitCode = code }),
	)
	if err != nil {
		return printError(stderr, err)
	}
	selected, err := parser.Parse(arguments)
	if exitCode >= 0 {
		// Kong has printed the help text.
		return exitCode
	}
	if err != nil {
		return printError(stderr, err)
	}
	out := &output{
		stdout: stdout,
		stderr: stderr,
	}
	err = selected.Run(out)
	if errors.Is(err, errAlreadyReported) {
		return 1
	}
	if err != nil {
		return printError(stderr, err)
	}
	return 0
}

func printError(stderr io.Writer, err error) int {
	_, _ = fmt.Fprintln(stderr, "anvilbridge:", err)
	return 1
}
