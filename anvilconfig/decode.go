package anvilconfig

import "strconv"

// decoded is a document with its values by path.
type decoded struct {
	name string
	// broken documents could not be read as a mapping at all.
	broken bool
	values map[string]value
	// names are those of the entries of each section, in document order.
	names map[string][]string
	// places are those of the entries by path.
	places map[string]place
	// refused holds the paths whose value is there but not accepted.
	refused map[string]bool
}

// value is an accepted value and the check that accepted it.
type value struct {
	node  *node
	check check
}

// decoder walks a document along the shape of the format.
type decoder struct {
	*decoded
	reporter *reporter
	// base is nil for the base file; overlays may only name what it has.
	base *decoded
}

// decode reads a document and reports everything that the format does not
// accept. base is nil for the base file itself.
func decode(d Document, s *shape, base *decoded, r *reporter) *decoded {
	result := &decoded{
		name:    d.Name,
		values:  map[string]value{},
		names:   map[string][]string{},
		places:  map[string]place{},
		refused: map[string]bool{},
	}
	root := parse(d, r)
	if root == nil || root.kind != kindMapping {
		result.broken = true
	}
	if root == nil {
		return result
	}
	walk := &decoder{
		decoded:  result,
		reporter: r,
		base:     base,
	}
	walk.mapping(root, "", s)
	return result
}

func (d *decoder) mapping(n *node, path string, s *shape) {
	if n.kind != kindMapping {
		d.refuse(n, path, wrongType(n), "mapping")
		return
	}
	seen := make(map[string]place, len(n.entries))
	for _, e := range n.entries {
		p := join(path, e.key)
		if first, repeated := seen[e.key]; repeated {
			d.reporter.add(e.at, p, "repeated key, first at line "+strconv.Itoa(first.line), "each key once")
			continue
		}
		seen[e.key] = e.at
		d.entry(e, path, p, s)
	}
}

func (d *decoder) entry(e entry, parent, path string, s *shape) {
	if s.named != nil {
		d.named(e, parent, path, s)
		return
	}
	if c, known := s.fields[e.key]; known {
		d.value(e.value, path, c)
		return
	}
	if part, known := s.parts[e.key]; known {
		d.mapping(e.value, path, part)
		return
	}
	d.reporter.add(e.at, path, "unknown key", oneOf(s.keys()))
}

func (d *decoder) named(e entry, parent, path string, s *shape) {
	if !validName(e.key) {
		d.reporter.add(e.at, path, invalidName(e.key), acceptedName)
	} else if !d.inBase(parent, path) {
		d.reporter.add(e.at, path, "unknown "+s.label+"; an overlay cannot add one", oneOf(d.base.names[parent]))
	}
	d.names[parent] = append(d.names[parent], e.key)
	d.places[path] = e.at
	d.mapping(e.value, path, s.named)
}

// inBase reports whether an overlay may name the entry. What the base file
// holds under a faulty or unknown parent cannot be told, and gets no finding.
func (d *decoder) inBase(parent, path string) bool {
	if d.base == nil || d.base.broken || d.base.refused[parent] {
		return true
	}
	if owner, nested := cutLast(parent); nested {
		if _, known := d.base.places[owner]; !known {
			return true
		}
	}
	_, known := d.base.places[path]
	return known
}

func (d *decoder) value(n *node, path string, c check) {
	if problem := c.problem(n); problem != "" {
		d.refuse(n, path, problem, c.accepted)
		return
	}
	d.values[path] = value{
		node:  n,
		check: c,
	}
}

// refuse reports a value, unless its fault has been reported by the parser.
func (d *decoder) refuse(n *node, path, message, accepted string) {
	d.refused[path] = true
	if n.kind != kindRefused {
		d.reporter.add(n.at, path, message, accepted)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// cutLast returns the path without its last key, and whether it has two or more.
func cutLast(path string) (string, bool) {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[:i], true
		}
	}
	return "", false
}
