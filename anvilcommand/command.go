// Package anvilcommand is the command line of anvilbridge.
package anvilcommand

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

type commands struct{}

// Run executes the command line and returns the exit code.
func Run(arguments []string, stdout, stderr io.Writer) int {
	parser, err := kong.New(&commands{}, kong.Name("anvilbridge"), kong.Writers(stdout, stderr))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	if _, err := parser.Parse(arguments); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return 1
	}
	return 0
}
