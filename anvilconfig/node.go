package anvilconfig

import "strconv"

// kind is the type of a node of a document.
type kind int

const (
	// kindInvalid marks a node whose fault has been reported already.
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

// position is a position in a document; line and column count from 1.
type position struct {
	document string
	line     int
	column   int
}

// String returns document:line.
func (p position) String() string {
	return p.document + ":" + strconv.Itoa(p.line)
}

// yamlNode is a part of a document. Nodes are shared between an anchor and its
// aliases and are never changed after parsing.
type yamlNode struct {
	kind kind
	// text is the value of a scalar.
	text string
	pos  position
	// entries are those of a mapping, in the order of the document.
	entries []mappingEntry
	// items are those of a list.
	items []*yamlNode
	// nodeCount counts the node and everything below it, with aliases expanded.
	nodeCount int
}

// mappingEntry is one key of a mapping. Keys may be repeated.
type mappingEntry struct {
	key   string
	pos   position
	value *yamlNode
}
