package anvilconfig

import (
	"strconv"

	"github.com/goccy/go-yaml/token"
)

// Limits on the input of the YAML parser. The parser recurses into nested values,
// and its run time grows with the square of the number of keys of a block mapping
// (20,000 keys took 1.2 s). A deployment of the design size needs 5 levels of
// nesting and 3,000 keys.
const (
	maxNesting      = 16
	maxTokens       = 200_000
	maxKeys         = 6_000
	maxAliasedNodes = 10_000
)

// tokenScanner checks the tokens of a document against the limits.
type tokenScanner struct {
	tokenCount int
	// flowDepth is the number of open brackets and braces of flow collections.
	flowDepth int
	// sequenceRun is the number of consecutive list indicators ("- - -").
	sequenceRun int
	// openBlocks holds the open block mappings, outermost first.
	openBlocks []blockMapping
}

// blockMapping is an open block mapping. Its keys all start in the same column.
type blockMapping struct {
	column   int
	keyCount int
}

// documentError is the reason why a document cannot be parsed.
type documentError struct {
	position *token.Position
	message  string
	accepted string
}

// checkTokens returns an error for the first token that exceeds a limit or is
// not supported, or nil. Comments are not counted.
func checkTokens(tokens token.Tokens) *documentError {
	s := &tokenScanner{}
	for _, t := range tokens {
		if t.Type == token.CommentType {
			continue
		}
		s.tokenCount++
		if tokenErr := s.checkToken(t); tokenErr != nil {
			tokenErr.position = t.Position
			return tokenErr
		}
	}
	return nil
}

func (s *tokenScanner) checkToken(t *token.Token) *documentError {
	if s.tokenCount > maxTokens {
		return limitExceeded("too many tokens", maxTokens)
	}
	if syntaxErr := checkSyntax(t); syntaxErr != nil {
		return syntaxErr
	}
	s.trackNesting(t)
	if s.flowDepth > maxNesting || s.sequenceRun > maxNesting || len(s.openBlocks) > maxNesting {
		return limitExceeded("nested too deeply", maxNesting)
	}
	if last := len(s.openBlocks) - 1; last >= 0 && s.openBlocks[last].keyCount > maxKeys {
		return limitExceeded("too many keys in one mapping", maxKeys)
	}
	return nil
}

// checkSyntax rejects YAML syntax that the format does not use.
func checkSyntax(t *token.Token) *documentError {
	switch t.Type {
	case token.TagType:
		return &documentError{
			message:  "tags are not supported",
			accepted: "plain values",
		}
	case token.MappingKeyType:
		return &documentError{
			message:  "explicit keys are not supported",
			accepted: "key: value",
		}
	case token.DirectiveType:
		return &documentError{
			message:  "directives are not supported",
			accepted: "YAML without directives",
		}
	case token.AnchorType:
		if t.Next != nil && t.Next.NextType() == token.AnchorType {
			return &documentError{
				message:  "a value has more than one anchor",
				accepted: "one anchor for a value",
			}
		}
	}
	return nil
}

// trackNesting updates the nesting counters.
func (s *tokenScanner) trackNesting(t *token.Token) {
	if t.Type == token.SequenceEntryType {
		s.sequenceRun++
		return
	}
	s.sequenceRun = 0
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.flowDepth++
	case token.SequenceEndType, token.MappingEndType:
		s.flowDepth = max(s.flowDepth-1, 0)
	case token.MappingValueType:
		if s.flowDepth == 0 && t.Prev != nil {
			s.countBlockKey(t.Prev.Position.Column)
		}
	}
}

// countBlockKey counts a key of a block mapping. It closes the mappings that are
// indented further, and opens a new one if none has its keys in this column.
func (s *tokenScanner) countBlockKey(column int) {
	for len(s.openBlocks) > 0 && s.openBlocks[len(s.openBlocks)-1].column > column {
		s.openBlocks = s.openBlocks[:len(s.openBlocks)-1]
	}
	if last := len(s.openBlocks) - 1; last >= 0 && s.openBlocks[last].column == column {
		s.openBlocks[last].keyCount++
		return
	}
	s.openBlocks = append(s.openBlocks, blockMapping{
		column:   column,
		keyCount: 1,
	})
}

func limitExceeded(message string, limit int) *documentError {
	return &documentError{
		message:  message,
		accepted: "at most " + strconv.Itoa(limit),
	}
}
