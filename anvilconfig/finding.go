package anvilconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Document is a configuration file.
type Document struct {
	Name    string
	Content []byte
}

// Finding is an error in the configuration and its position.
type Finding struct {
	Document string
	// Line and Column are counted from 1, and Column in characters. An error that
	// concerns the whole document is reported at 1:1.
	Line   int
	Column int
	// Path identifies the field, such as services.registry-portal.slots. It may be
	// empty.
	Path    string
	Message string
	// Accepted describes the accepted values. It may be empty.
	Accepted string
}

// String formats the finding as "file:line:column: path: message (accepted: ...)".
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", f.Document, f.Line, f.Column)
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	if f.Accepted != "" {
		b.WriteString(" (accepted: " + f.Accepted + ")")
	}
	return b.String()
}

// Findings lists all errors in a set of documents, sorted by position: the base
// file first, then the overlays by name, each by line and column.
type Findings []Finding

// Error returns one line per finding.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// sorted sorts the findings by position and removes duplicates. ranks
// holds the rank of each document in the result.
func (f Findings) sorted(ranks map[string]int) Findings {
	slices.SortFunc(f, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(ranks[a.Document], ranks[b.Document]),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(f)
}
