package anvilconfig

import "strconv"

// decodedDocument is a document after decoding. All paths are dotted, such as
// services.registry-portal.slots.
type decodedDocument struct {
	name string
	// malformed means that the document is not a YAML mapping.
	malformed bool
	// values holds the accepted values by path.
	values map[string]acceptedValue
	// entryNames holds the names of the entries by the path of their section, in
	// document order.
	entryNames map[string][]string
	// entryPositions holds the positions of the named entries by path.
	entryPositions map[string]position
	// rejected holds the paths of values that are present but not accepted.
	rejected map[string]bool
}

// acceptedValue is the value of a field and the rule that accepted it.
type acceptedValue struct {
	node *yamlNode
	rule fieldRule
}

// decoder walks a document and checks it against the schema.
type decoder struct {
	*decodedDocument
	reporter *reporter
	// base is the decoded base file, or nil while decoding the base file itself.
	// Overlays may only name entries that the base file declares.
	base *decodedDocument
}

// decode parses a document and reports everything that the schema does not
// accept. base is nil for the base file itself.
func decode(document Document, schema *mappingSchema, base *decodedDocument, r *reporter) *decodedDocument {
	result := &decodedDocument{
		name:           document.Name,
		values:         map[string]acceptedValue{},
		entryNames:     map[string][]string{},
		entryPositions: map[string]position{},
		rejected:       map[string]bool{},
	}
	root := parse(document, r)
	if root == nil || root.kind != kindMapping {
		result.malformed = true
	}
	if root == nil {
		return result
	}
	d := &decoder{
		decodedDocument: result,
		reporter:        r,
		base:            base,
	}
	d.decodeMapping(root, "", schema)
	return result
}

func (d *decoder) decodeMapping(n *yamlNode, path string, schema *mappingSchema) {
	if n.kind != kindMapping {
		d.rejectValue(n, path, wrongTypeMessage(n), "mapping")
		return
	}
	seen := make(map[string]position, len(n.entries))
	for _, e := range n.entries {
		entryPath := joinPath(path, e.key)
		if first, repeated := seen[e.key]; repeated {
			d.reporter.add(e.pos, entryPath, "repeated key, first at line "+strconv.Itoa(first.line), "each key once")
			continue
		}
		seen[e.key] = e.pos
		d.decodeEntry(e, path, entryPath, schema)
	}
}

func (d *decoder) decodeEntry(e mappingEntry, parent, path string, schema *mappingSchema) {
	if schema.entrySchema != nil {
		d.decodeNamedEntry(e, parent, path, schema)
		return
	}
	if rule, known := schema.fields[e.key]; known {
		d.decodeField(e.value, path, rule)
		return
	}
	if section, known := schema.sections[e.key]; known {
		d.decodeMapping(e.value, path, section)
		return
	}
	d.reporter.add(e.pos, path, "unknown key", oneOf(schema.knownKeys()))
}

func (d *decoder) decodeNamedEntry(e mappingEntry, parent, path string, schema *mappingSchema) {
	if !isValidName(e.key) {
		d.reporter.add(e.pos, path, invalidNameMessage(e.key), nameSyntax)
	} else if !d.isInBase(parent, path) {
		d.reporter.add(e.pos, path, "unknown "+schema.entryKind+"; an overlay cannot add one", oneOf(d.base.entryNames[parent]))
	}
	d.entryNames[parent] = append(d.entryNames[parent], e.key)
	d.entryPositions[path] = e.pos
	d.decodeMapping(e.value, path, schema.entrySchema)
}

// isInBase reports whether an overlay may name the entry. It returns true if the
// parent is invalid in the base file or unknown there: what the base file
// declares under it is not known, so a finding could be wrong.
func (d *decoder) isInBase(parent, path string) bool {
	if d.base == nil || d.base.malformed || d.base.rejected[parent] {
		return true
	}
	if owner, nested := parentPath(parent); nested {
		if _, declared := d.base.entryPositions[owner]; !declared {
			return true
		}
	}
	_, declared := d.base.entryPositions[path]
	return declared
}

func (d *decoder) decodeField(n *yamlNode, path string, rule fieldRule) {
	if problem := rule.validate(n); problem != "" {
		d.rejectValue(n, path, problem, rule.accepted)
		return
	}
	d.values[path] = acceptedValue{
		node: n,
		rule: rule,
	}
}

// rejectValue marks a value as rejected and reports it, unless the conversion
// of the document has already reported the node.
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

// parentPath returns the path without its last key, or false if the path has only
// one key.
func parentPath(path string) (string, bool) {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[:i], true
		}
	}
	return "", false
}
