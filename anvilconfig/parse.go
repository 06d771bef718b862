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

// reporter collects findings.
type reporter struct {
	findings Findings
}

func (r *reporter) add(at position, path, message, accepted string) {
	r.findings = append(r.findings, Finding{
		Document: at.document,
		Line:     at.line,
		Column:   at.column,
		Path:     path,
		Message:  message,
		Accepted: accepted,
	})
}

// parse returns the content of a document, or nil after a report when the
// document cannot be read as a whole.
func parse(d Document, r *reporter) *yamlNode {
	start := position{
		document: d.Name,
		line:     1,
		column:   1,
	}
	if len(d.Content) > MaxDocumentBytes {
		r.add(start, "", fmt.Sprintf("the document has %d bytes", len(d.Content)),
			fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
		return nil
	}
	content := bytes.TrimPrefix(d.Content, byteOrderMark)
	if at := firstInvalidUTF8(content); at >= 0 {
		r.add(positionAfter(start, content[:at]), "", "the document is not valid UTF-8", "UTF-8")
		return nil
	}
	file, refused := parseYAML(string(content))
	if refused != nil {
		r.add(start.movedTo(refused.position), "", refused.message, refused.accepted)
		return nil
	}
	return convert(file, start, r)
}

// parseYAML runs the YAML parser within bounds. A panic of the parser is a
// refusal, because one faulty document must not end a node.
func parseYAML(content string) (file *ast.File, refused *documentError) {
	defer func() {
		if p := recover(); p != nil {
			refused = &documentError{
				message:  "the YAML parser failed on the document",
				accepted: "YAML",
			}
		}
	}()
	tokens := lexer.Tokenize(content)
	if r := checkTokens(tokens); r != nil {
		return nil, r
	}
	// Repeated keys are reported later, all of them; the parser stops at the first.
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(err)
	}
	return file, nil
}

// syntaxError takes place and message out of an error of the parser, whose
// text would quote the document.
func syntaxError(err error) *documentError {
	r := &documentError{
		message:  err.Error(),
		accepted: "YAML",
	}
	var located interface {
		error
		GetMessage() string
		GetToken() *token.Token
	}
	if errors.As(err, &located) {
		r.message = located.GetMessage()
		if t := located.GetToken(); t != nil {
			r.position = t.Position
		}
	}
	return r
}

// movedTo returns the place at a position of the parser, or p itself without one.
func (p position) movedTo(to *token.Position) position {
	if to == nil {
		return p
	}
	return position{
		document: p.document,
		line:     to.Line,
		column:   to.Column,
	}
}

func firstInvalidUTF8(content []byte) int {
	if utf8.Valid(content) {
		return -1
	}
	for at := 0; at < len(content); {
		r, size := utf8.DecodeRune(content[at:])
		if r == utf8.RuneError && size == 1 {
			return at
		}
		at += size
	}
	return -1
}

// positionAfter returns the place after the given beginning of a document.
func positionAfter(start position, before []byte) position {
	lastLine := before[bytes.LastIndexByte(before, '\n')+1:]
	return position{
		document: start.document,
		line:     1 + bytes.Count(before, []byte("\n")),
		column:   1 + utf8.RuneCount(lastLine),
	}
}
