package anvilconfig

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"

	"anvilbridge/anvilmodel"
)

const indentUnit = "  "

// Render returns the effective configuration of a site in the format of a base
// file. A comment at the end of each line says where the value comes from:
// document:line, or default. Loaded as a base file, the result gives the same
// Settings. The result may exceed MaxDocumentBytes when the base file is close
// to that size. It returns an UnknownSite error for a site that the base file
// does not declare.
func (c *Configuration) Render(site SiteName) ([]byte, error) {
	s := c.Settings(site)
	if s == nil {
		return nil, UnknownSite.New("cannot render site %q: the base file does not declare it", site)
	}
	l := c.layers[site]
	w := &writer{
		layers: &l,
	}
	w.line("", keySites+": ["+formatName(site)+"]", w.origin(keySites, false))
	w.domains(s)
	w.slots(s)
	w.services(s)
	w.classes(s)
	w.header("", sectionPolicy)
	writeFields(w, indentUnit, sectionPolicy, policyFields, &s.Policy)
	w.header("", sectionLimits)
	writeFields(w, indentUnit, sectionLimits, limitFields, &s.Limits)
	return w.Bytes(), nil
}

// writer writes lines of YAML with the origin of each value.
type writer struct {
	bytes.Buffer
	layers *layers
}

func (w *writer) header(indent, key string) {
	w.WriteString(indent + key + ":\n")
}

func (w *writer) line(indent, text, origin string) {
	w.WriteString(indent + text + " # " + origin + "\n")
}

// origin returns the origin of a field without characters that could end the
// comment; document names are free text.
func (w *writer) origin(path string, shared bool) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, w.layers.origin(path, shared))
}

func writeFields[T any](w *writer, indent, path string, fields []field[T], target *T) {
	for i := range fields {
		f := &fields[i]
		w.line(indent, f.key+": "+f.get(target), w.origin(join(path, f.key), f.shared))
	}
}

func (w *writer) domains(s *Settings) {
	w.header("", sectionDomains)
	for i := range s.FailureDomains {
		d := &s.FailureDomains[i]
		w.header(indentUnit, formatName(d.Name))
		writeFields(w, indentUnit+indentUnit, join(sectionDomains, string(d.Name)), domainFields, d)
	}
}

func (w *writer) slots(s *Settings) {
	w.header("", sectionSlots)
	for i := range s.EntrySlots {
		e := &s.EntrySlots[i]
		w.header(indentUnit, formatName(e.Name))
		writeFields(w, indentUnit+indentUnit, join(sectionSlots, string(e.Name)), slotFields, e)
	}
}

func (w *writer) services(s *Settings) {
	w.header("", sectionServices)
	for i := range s.Services {
		service := &s.Services[i]
		path := join(sectionServices, string(service.Name))
		w.header(indentUnit, formatName(service.Name))
		writeFields(w, indentUnit+indentUnit, path, serviceFields, service)
		w.header(indentUnit+indentUnit, sectionLeafs)
		for k := range service.Leaves {
			w.leaf(join(path, sectionLeafs), &service.Leaves[k])
		}
	}
}

// leaf writes one line, and one origin if all values have the same.
func (w *writer) leaf(path string, l *anvilmodel.Leaf) {
	var texts, origins []string
	same := true
	for i := range leafFields {
		f := &leafFields[i]
		origin := w.origin(join(join(path, string(l.Name)), f.key), f.shared)
		texts = append(texts, f.key+": "+f.get(l))
		origins = append(origins, f.key+" "+origin)
		same = same && origin == strings.TrimPrefix(origins[0], leafFields[0].key+" ")
	}
	comment := strings.Join(origins, ", ")
	if same {
		comment = strings.TrimPrefix(origins[0], leafFields[0].key+" ")
	}
	text := fmt.Sprintf("%s: {%s}", formatName(l.Name), strings.Join(texts, ", "))
	w.line(strings.Repeat(indentUnit, 3), text, comment)
}

func (w *writer) classes(s *Settings) {
	w.header("", sectionClasses)
	for i := range s.Classes {
		c := &s.Classes[i]
		w.header(indentUnit, formatName(c.Class.Name))
		writeFields(w, indentUnit+indentUnit, join(sectionClasses, string(c.Class.Name)), classFields, c)
	}
}
