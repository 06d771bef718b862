package anvilconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Document is one configuration file.
type Document struct {
	Name    string
	Content []byte
}

// Finding is one fault of the configuration and its place.
type Finding struct {
	Document string
	// Line and Column count from 1; Column counts characters. A fault of the
	// document as a whole is at 1:1.
	Line   int
	Column int
	// Path is the field, such as services.registry-portal.slots; it may be empty.
	Path    string
	Message string
	// Accepted says what would be accepted; it may be empty.
	Accepted string
}

// String returns file:line:column: path: message (accepted: ...).
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

// Findings is the list of all faults of a set of documents, sorted by place:
// the base file first, then the overlays by name, each by line and column.
type Findings []Finding

// Error returns one line per finding.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// sorted returns the findings in order of place without repetitions. rank
// orders the documents.
func (f Findings) sorted(rank map[string]int) Findings {
	slices.SortFunc(f, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(rank[a.Document], rank[b.Document]),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(f)
}
