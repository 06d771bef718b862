package anvilconfig

import "strconv"

// kind is the type of a node of a document.
type kind int

const (
	// kindRefused marks a node whose fault has been reported already.
	kindRefused kind = iota
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

// place is a position in a document; line and column count from 1.
type place struct {
	document string
	line     int
	column   int
}

// String returns document:line.
func (p place) String() string {
	return p.document + ":" + strconv.Itoa(p.line)
}

// node is a part of a document. Nodes are shared between an anchor and its
// aliases and are never changed after parsing.
type node struct {
	kind kind
	// text is the value of a scalar.
	text string
	at   place
	// entries are those of a mapping, in the order of the document.
	entries []entry
	// items are those of a list.
	items []*node
	// size counts the node and everything below it, with aliases expanded.
	size int
}

// entry is one key of a mapping. Keys may be repeated.
type entry struct {
	key   string
	at    place
	value *node
}
