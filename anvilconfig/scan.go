package anvilconfig

import (
	"strconv"

	"github.com/goccy/go-yaml/token"
)

// Bounds on what is handed to the YAML parser. Its recursion follows the
// nesting of the document, and its time grows with the square of the number of
// keys of one block mapping (20,000 keys took 1.2 s). The design size needs a
// nesting of 5, and 3,000 keys.
const (
	maxNesting      = 16
	maxTokens       = 200_000
	maxKeys         = 6_000
	maxAliasedNodes = 10_000
)

// scanner checks the tokens of a document against the bounds.
type scanner struct {
	count int
	// flow is the number of open brackets and braces.
	flow int
	// run is the number of successive list indicators.
	run int
	// blocks are the open block mappings, outermost first.
	blocks []block
}

// block is an open block mapping: the column of its keys and their number.
type block struct {
	column int
	keys   int
}

// refusal says why a document is not parsed.
type refusal struct {
	at       *token.Position
	message  string
	accepted string
}

// scanTokens returns the first breach of a bound, or nil. Comments are free.
func scanTokens(tokens token.Tokens) *refusal {
	s := &scanner{}
	for _, t := range tokens {
		if t.Type == token.CommentType {
			continue
		}
		s.count++
		if r := s.token(t); r != nil {
			r.at = t.Position
			return r
		}
	}
	return nil
}

func (s *scanner) token(t *token.Token) *refusal {
	if s.count > maxTokens {
		return exceeded("too many tokens", maxTokens)
	}
	if r := unsupported(t); r != nil {
		return r
	}
	s.nest(t)
	if s.flow > maxNesting || s.run > maxNesting || len(s.blocks) > maxNesting {
		return exceeded("nested too deeply", maxNesting)
	}
	if last := len(s.blocks) - 1; last >= 0 && s.blocks[last].keys > maxKeys {
		return exceeded("too many keys in one mapping", maxKeys)
	}
	return nil
}

// unsupported refuses what the format has no use for.
func unsupported(t *token.Token) *refusal {
	switch t.Type {
	case token.TagType:
		return &refusal{
			message:  "tags are not supported",
			accepted: "plain values",
		}
	case token.MappingKeyType:
		return &refusal{
			message:  "explicit keys are not supported",
			accepted: "key: value",
		}
	case token.DirectiveType:
		return &refusal{
			message:  "directives are not supported",
			accepted: "YAML without directives",
		}
	case token.AnchorType:
		if t.Next != nil && t.Next.NextType() == token.AnchorType {
			return &refusal{
				message:  "a value has more than one anchor",
				accepted: "one anchor for a value",
			}
		}
	}
	return nil
}

func (s *scanner) nest(t *token.Token) {
	if t.Type == token.SequenceEntryType {
		s.run++
		return
	}
	s.run = 0
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.flow++
	case token.SequenceEndType, token.MappingEndType:
		s.flow = max(s.flow-1, 0)
	case token.MappingValueType:
		if s.flow == 0 && t.Prev != nil {
			s.blockKey(t.Prev.Position.Column)
		}
	}
}

func (s *scanner) blockKey(column int) {
	for len(s.blocks) > 0 && s.blocks[len(s.blocks)-1].column > column {
		s.blocks = s.blocks[:len(s.blocks)-1]
	}
	if last := len(s.blocks) - 1; last >= 0 && s.blocks[last].column == column {
		s.blocks[last].keys++
		return
	}
	s.blocks = append(s.blocks, block{
		column: column,
		keys:   1,
	})
}

func exceeded(message string, limit int) *refusal {
	return &refusal{
		message:  message,
		accepted: "at most " + strconv.Itoa(limit),
	}
}
