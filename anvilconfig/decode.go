package anvilconfig

import "strconv"

// decodedDocument is a document with its values by path.
type decodedDocument struct {
	name string
	// malformed documents could not be read as a mapping at all.
	malformed bool
	values    map[string]acceptedValue
	// entryNames are those of the entries of each section, in document order.
	entryNames map[string][]string
	// entryPositions are those of the entries by path.
	entryPositions map[string]position
	// rejected holds the paths whose value is there but not accepted.
	rejected map[string]bool
}

// acceptedValue is an accepted acceptedValue and the check that accepted it.
type acceptedValue struct {
	node *yamlNode
	rule fieldRule
}

// decoder walks a document along the shape of the format.
type decoder struct {
	*decodedDocument
	reporter *reporter
	// base is nil for the base file; overlays may only name what it has.
	base *decodedDocument
}

// decode reads a document and reports everything that the format does not
// accept. base is nil for the base file itself.
func decode(d Document, s *mappingSchema, base *decodedDocument, r *reporter) *decodedDocument {
	result := &decodedDocument{
		name:           d.Name,
		values:         map[string]acceptedValue{},
		entryNames:     map[string][]string{},
		entryPositions: map[string]position{},
		rejected:       map[string]bool{},
	}
	root := parse(d, r)
	if root == nil || root.kind != kindMapping {
		result.malformed = true
	}
	if root == nil {
		return result
	}
	walk := &decoder{
		decodedDocument: result,
		reporter:        r,
		base:            base,
	}
	walk.decodeMapping(root, "", s)
	return result
}

func (d *decoder) decodeMapping(n *yamlNode, path string, s *mappingSchema) {
	if n.kind != kindMapping {
		d.rejectValue(n, path, wrongTypeMessage(n), "mapping")
		return
	}
	seen := make(map[string]position, len(n.entries))
	for _, e := range n.entries {
		p := joinPath(path, e.key)
		if first, repeated := seen[e.key]; repeated {
			d.reporter.add(e.pos, p, "repeated key, first at line "+strconv.Itoa(first.line), "each key once")
			continue
		}
		seen[e.key] = e.pos
		d.decodeEntry(e, path, p, s)
	}
}

func (d *decoder) decodeEntry(e mappingEntry, parent, path string, s *mappingSchema) {
	if s.entrySchema != nil {
		d.decodeNamedEntry(e, parent, path, s)
		return
	}
	if c, known := s.fields[e.key]; known {
		d.decodeField(e.value, path, c)
		return
	}
	if part, known := s.sections[e.key]; known {
		d.decodeMapping(e.value, path, part)
		return
	}
	d.reporter.add(e.pos, path, "unknown key", oneOf(s.knownKeys()))
}

func (d *decoder) decodeNamedEntry(e mappingEntry, parent, path string, s *mappingSchema) {
	if !isValidName(e.key) {
		d.reporter.add(e.pos, path, invalidNameMessage(e.key), nameSyntax)
	} else if !d.isInBase(parent, path) {
		d.reporter.add(e.pos, path, "unknown "+s.entryKind+"; an overlay cannot add one", oneOf(d.base.entryNames[parent]))
	}
	d.entryNames[parent] = append(d.entryNames[parent], e.key)
	d.entryPositions[path] = e.pos
	d.decodeMapping(e.value, path, s.entrySchema)
}

// isInBase reports whether an overlay may name the entry. What the base file
// holds under a faulty or unknown parent cannot be told, and gets no finding.
func (d *decoder) isInBase(parent, path string) bool {
	if d.base == nil || d.base.malformed || d.base.rejected[parent] {
		return true
	}
	if owner, nested := parentPath(parent); nested {
		if _, known := d.base.entryPositions[owner]; !known {
			return true
		}
	}
	_, known := d.base.entryPositions[path]
	return known
}

func (d *decoder) decodeField(n *yamlNode, path string, c fieldRule) {
	if problem := c.validate(n); problem != "" {
		d.rejectValue(n, path, problem, c.accepted)
		return
	}
	d.values[path] = acceptedValue{
		node: n,
		rule: c,
	}
}

// rejectValue reports a value, unless its fault has been reported by the parser.
func (d *decoder) rejectValue(n *yamlNode, path, message, accepted string) {
	d.rejected[path] = true
	if n.kind != kindInvalid {
		d.reporter.add(n.pos, path, message, accepted)
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// parentPath returns the path without its last key, and whether it has two or more.
func parentPath(path string) (string, bool) {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[:i], true
		}
	}
	return "", false
}
