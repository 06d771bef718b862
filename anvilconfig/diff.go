package anvilconfig

import (
	"cmp"
	"slices"

	"anvilbridge/anvilmodel"
)

// Change is the difference of one field.
type Change struct {
	// Path is the field, such as services.registry-portal.slots.
	Path string
	// Old and New are the values as Render prints them; empty means absent.
	Old string
	New string
}

// Diff returns the fields that differ, sorted by path. Either side may be nil,
// which stands for a configuration without any field.
func Diff(before, after *Settings) []Change {
	d := &differ{}
	diffFields(d, "", overlayFields, siteOf(before), siteOf(after))
	diffFields(d, sectionPolicy, policyFields, policyOf(before), policyOf(after))
	diffFields(d, sectionLimits, limitFields, limitsOf(before), limitsOf(after))
	d.lists(present(before), present(after))
	slices.SortFunc(d.changes, func(a, b Change) int {
		return cmp.Compare(a.Path, b.Path)
	})
	return d.changes
}

// differ collects changes.
type differ struct {
	changes []Change
}

func (d *differ) lists(before, after *Settings) {
	diffList(sectionDomains, before.FailureDomains, after.FailureDomains,
		func(f *FailureDomain) string { return string(f.Name) },
		func(path string, b, a *FailureDomain) { diffFields(d, path, domainFields, b, a) })
	diffList(sectionSlots, before.EntrySlots, after.EntrySlots,
		func(e *EntrySlot) string { return string(e.Name) },
		func(path string, b, a *EntrySlot) { diffFields(d, path, slotFields, b, a) })
	diffList(sectionServices, before.Services, after.Services,
		func(s *Service) string { return string(s.Name) },
		d.service)
	diffList(sectionClasses, before.Classes, after.Classes,
		func(c *RequestClass) string { return string(c.Class.Name) },
		func(path string, b, a *RequestClass) { diffFields(d, path, classFields, b, a) })
}

func (d *differ) service(path string, before, after *Service) {
	diffFields(d, path, serviceFields, before, after)
	diffList(join(path, sectionLeafs), leafsOf(before), leafsOf(after),
		func(l *anvilmodel.Leaf) string { return string(l.Name) },
		d.leaf)
}

// leaf compares the leafs as a whole first: most of thousands are the same.
func (d *differ) leaf(path string, before, after *anvilmodel.Leaf) {
	if before != nil && after != nil && *before == *after {
		return
	}
	diffFields(d, path, leafFields, before, after)
}

// diffFields adds the fields that differ; nil stands for no field at all.
func diffFields[T any](d *differ, path string, fields []field[T], before, after *T) {
	for i := range fields {
		f := &fields[i]
		old, current := textOf(f, before), textOf(f, after)
		if old == current {
			continue
		}
		d.changes = append(d.changes, Change{
			Path: join(path, f.key),
			Old:  old,
			New:  current,
		})
	}
}

func textOf[T any](f *field[T], target *T) string {
	if target == nil {
		return ""
	}
	return f.get(target)
}

// diffList pairs the entries of two lists by name and compares each pair; one
// of the pair is nil when only the other list has the name.
func diffList[T any](section string, before, after []T, name func(*T) string, pair func(path string, before, after *T)) {
	remaining := make(map[string]*T, len(after))
	for i := range after {
		remaining[name(&after[i])] = &after[i]
	}
	for i := range before {
		key := name(&before[i])
		pair(join(section, key), &before[i], remaining[key])
		delete(remaining, key)
	}
	for key, a := range remaining {
		pair(join(section, key), nil, a)
	}
}

func present(s *Settings) *Settings {
	if s == nil {
		return &Settings{}
	}
	return s
}

func siteOf(s *Settings) *siteChoice {
	if s == nil {
		return nil
	}
	return &siteChoice{
		site: s.Site,
	}
}

func policyOf(s *Settings) *Policy {
	if s == nil {
		return nil
	}
	return &s.Policy
}

func limitsOf(s *Settings) *Limits {
	if s == nil {
		return nil
	}
	return &s.Limits
}

func leafsOf(s *Service) []anvilmodel.Leaf {
	if s == nil {
		return nil
	}
	return s.Leaves
}
