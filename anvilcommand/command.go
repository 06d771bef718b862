// Package anvilcommand is the command line of anvilbridge.
package anvilcommand

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

type commands struct {
	Check  Check  `cmd:"" help:"Check a base file and its overlays."`
	Render Render `cmd:"" help:"Print the effective configuration of a site and the origin of each value."`
	Diff   Diff   `cmd:"" help:"Print the fields that differ between two sets of documents."`
}

// Run executes the command line and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	parser, err := kong.New(&commands{},
		kong.Name("anvilbridge"),
		kong.Writers(stdout, stderr),
		kong.BindTo(stdout, (*io.Writer)(nil)),
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	context, err := parser.Parse(arguments)
	if err == nil {
		err = context.Run()
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}
