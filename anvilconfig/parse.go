package anvilconfig

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

var byteOrderMark = []byte("\ufeff")

// reporter collects the findings of all documents.
type reporter struct {
	findings Findings
}

func (r *reporter) add(pos position, path, message, accepted string) {
	r.findings = append(r.findings, Finding{
		Document: pos.document,
		Line:     pos.line,
		Column:   pos.column,
		Path:     path,
		Message:  message,
		Accepted: accepted,
	})
}

// parse returns the root node of a document. It returns nil, after reporting a
// finding, if the document cannot be parsed.
func parse(document Document, r *reporter) *yamlNode {
	start := position{
		document: document.Name,
		line:     1,
		column:   1,
	}
	if len(document.Content) > MaxDocumentBytes {
		r.add(start, "", fmt.Sprintf("the document has %d bytes", len(document.Content)),
			fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
		return nil
	}
	content := bytes.TrimPrefix(document.Content, byteOrderMark)
	if offset := firstInvalidUTF8(content); offset >= 0 {
		r.add(positionAfter(start, content[:offset]), "", "the document is not valid UTF-8", "UTF-8")
		return nil
	}
	file, parseErr := parseYAML(string(content))
	if parseErr != nil {
		r.add(start.movedTo(parseErr.position), "", parseErr.message, parseErr.accepted)
		return nil
	}
	return convert(file, start, r)
}

// parseYAML runs the YAML parser if the tokens are within the limits. A panic of
// the parser is returned as an error, so that an invalid document cannot
// terminate the process.
func parseYAML(content string) (file *ast.File, parseErr *documentError) {
	defer func() {
		if recovered := recover(); recovered != nil {
			parseErr = &documentError{
				message:  "the YAML parser failed on the document",
				accepted: "YAML",
			}
		}
	}()
	tokens := lexer.Tokenize(content)
	if tokenErr := checkTokens(tokens); tokenErr != nil {
		return nil, tokenErr
	}
	// Duplicate keys are allowed here because the parser would stop at the first
	// one. The decoder reports all of them.
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(err)
	}
	return file, nil
}

// syntaxError returns the position and the message of a parser error. The text
// of the error itself is not used because it quotes the document.
func syntaxError(err error) *documentError {
	documentErr := &documentError{
		message:  err.Error(),
		accepted: "YAML",
	}
	var located interface {
		error
		GetMessage() string
		GetToken() *token.Token
	}
	if errors.As(err, &located) {
		documentErr.message = located.GetMessage()
		if errorToken := located.GetToken(); errorToken != nil {
			documentErr.position = errorToken.Position
		}
	}
	return documentErr
}

// movedTo returns the given position of the YAML parser in the same document. It
// returns p if parserPosition is nil.
func (p position) movedTo(parserPosition *token.Position) position {
	if parserPosition == nil {
		return p
	}
	return position{
		document: p.document,
		line:     parserPosition.Line,
		column:   parserPosition.Column,
	}
}

// firstInvalidUTF8 returns the offset of the first byte that is not valid UTF-8,
// or -1.
func firstInvalidUTF8(content []byte) int {
	if utf8.Valid(content) {
		return -1
	}
	for offset := 0; offset < len(content); {
		r, size := utf8.DecodeRune(content[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return -1
}

// positionAfter returns the position that follows the given prefix of a document.
func positionAfter(start position, prefix []byte) position {
	lastLine := prefix[bytes.LastIndexByte(prefix, '\n')+1:]
	return position{
		document: start.document,
		line:     1 + bytes.Count(prefix, []byte("\n")),
		column:   1 + utf8.RuneCount(lastLine),
	}
}
