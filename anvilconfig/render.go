package anvilconfig

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"

	"anvilbridge/anvilmodel"
)

const indentUnit = "  "

// Render returns the effective settings of a site in the format of a base file.
// A comment at the end of each line gives the origin of the value, either
// "document:line" or "default". Loading the result as a base file yields the same
// Settings. The result may exceed MaxDocumentBytes if the base file is close to
// that size. Render returns an UnknownSite error for a site that the base file
// does not declare.
func (c *Configuration) Render(site SiteName) ([]byte, error) {
	s := c.Settings(site)
	if s == nil {
		return nil, UnknownSite.New("cannot render site %q: the base file does not declare it", site)
	}
	siteLayers := c.layers[site]
	w := &yamlWriter{
		layers: &siteLayers,
	}
	w.writeLine("", keySites+": ["+formatName(site)+"]", w.origin(keySites, false))
	w.writeFailureDomains(s)
	w.writeEntrySlots(s)
	w.writeServices(s)
	w.writeClasses(s)
	w.writeKey("", sectionPolicy)
	writeFields(w, indentUnit, sectionPolicy, policyFields, &s.Policy)
	w.writeKey("", sectionLimits)
	writeFields(w, indentUnit, sectionLimits, limitsFields, &s.Limits)
	return w.Bytes(), nil
}

// yamlWriter writes YAML with the origin of each value as a comment.
type yamlWriter struct {
	bytes.Buffer
	layers *layers
}

func (w *yamlWriter) writeKey(indent, key string) {
	w.WriteString(indent + key + ":\n")
}

func (w *yamlWriter) writeLine(indent, text, origin string) {
	w.WriteString(indent + text + " # " + origin + "\n")
}

// origin returns the origin of a field. It replaces unprintable characters, which
// could end the comment, because document names are arbitrary text.
func (w *yamlWriter) origin(path string, shared bool) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, w.layers.origin(path, shared))
}

func writeFields[T any](w *yamlWriter, indent, path string, fields []field[T], target *T) {
	for i := range fields {
		f := &fields[i]
		w.writeLine(indent, f.key+": "+f.format(target), w.origin(joinPath(path, f.key), f.shared))
	}
}

func (w *yamlWriter) writeFailureDomains(s *Settings) {
	w.writeKey("", sectionFailureDomains)
	for i := range s.FailureDomains {
		d := &s.FailureDomains[i]
		w.writeKey(indentUnit, formatName(d.Name))
		writeFields(w, indentUnit+indentUnit, joinPath(sectionFailureDomains, string(d.Name)), failureDomainFields, d)
	}
}

func (w *yamlWriter) writeEntrySlots(s *Settings) {
	w.writeKey("", sectionEntrySlots)
	for i := range s.EntrySlots {
		e := &s.EntrySlots[i]
		w.writeKey(indentUnit, formatName(e.Name))
		writeFields(w, indentUnit+indentUnit, joinPath(sectionEntrySlots, string(e.Name)), entrySlotFields, e)
	}
}

func (w *yamlWriter) writeServices(s *Settings) {
	w.writeKey("", sectionServices)
	for i := range s.Services {
		service := &s.Services[i]
		path := joinPath(sectionServices, string(service.Name))
		w.writeKey(indentUnit, formatName(service.Name))
		writeFields(w, indentUnit+indentUnit, path, serviceFields, service)
		w.writeKey(indentUnit+indentUnit, sectionLeaves)
		for j := range service.Leaves {
			w.writeLeaf(joinPath(path, sectionLeaves), &service.Leaves[j])
		}
	}
}

// writeLeaf writes a leaf on one line. If all values have the same origin, the
// comment gives it once.
func (w *yamlWriter) writeLeaf(path string, l *anvilmodel.Leaf) {
	var values, origins []string
	sameOrigin := true
	for i := range leafFields {
		f := &leafFields[i]
		origin := w.origin(joinPath(joinPath(path, string(l.Name)), f.key), f.shared)
		values = append(values, f.key+": "+f.format(l))
		origins = append(origins, f.key+" "+origin)
		sameOrigin = sameOrigin && origin == strings.TrimPrefix(origins[0], leafFields[0].key+" ")
	}
	comment := strings.Join(origins, ", ")
	if sameOrigin {
		comment = strings.TrimPrefix(origins[0], leafFields[0].key+" ")
	}
	text := fmt.Sprintf("%s: {%s}", formatName(l.Name), strings.Join(values, ", "))
	w.writeLine(strings.Repeat(indentUnit, 3), text, comment)
}

func (w *yamlWriter) writeClasses(s *Settings) {
	w.writeKey("", sectionClasses)
	for i := range s.Classes {
		c := &s.Classes[i]
		w.writeKey(indentUnit, formatName(c.Class.Name))
		writeFields(w, indentUnit+indentUnit, joinPath(sectionClasses, string(c.Class.Name)), classFields, c)
	}
}
