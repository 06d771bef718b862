package anvilconfig

import "strconv"

// kind is the type of a node in a document.
type kind int

const (
	// kindInvalid marks a node for which a finding has already been reported.
	kindInvalid kind = iota
	kindNull
	kindBool
	kindInteger
	kindFloat
	kindString
	kindMapping
	kindSequence
)

func (k kind) String() string {
	switch k {
	case kindNull:
		return "null"
	case kindBool:
		return "boolean"
	case kindInteger:
		return "integer"
	case kindFloat:
		return "number"
	case kindString:
		return "string"
	case kindMapping:
		return "mapping"
	case kindSequence:
		return "list"
	default:
		return "refused"
	}
}

// position is a position in a document. Lines and columns are counted from 1.
type position struct {
	document string
	line     int
	column   int
}

// String returns document:line.
func (p position) String() string {
	return p.document + ":" + strconv.Itoa(p.line)
}

// yamlNode is a scalar, mapping or list in a document. An anchor and its aliases
// share one node, so nodes must not be modified after parsing.
type yamlNode struct {
	kind kind
	// text is the source text of a scalar.
	text string
	pos  position
	// entries holds the entries of a mapping in document order.
	entries []mappingEntry
	// items holds the items of a list.
	items []*yamlNode
	// nodeCount is the number of nodes in this subtree, including the node itself,
	// with aliases expanded.
	nodeCount int
}

// mappingEntry is a key and its value in a mapping. A mapping may hold several
// entries with the same key.
type mappingEntry struct {
	key   string
	pos   position
	value *yamlNode
}
