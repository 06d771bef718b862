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
	diffFields(d, "", overlayHeaderFields, siteHeader(before), siteHeader(after))
	diffFields(d, sectionPolicy, policyFields, policyOf(before), policyOf(after))
	diffFields(d, sectionLimits, limitsFields, limitsOf(before), limitsOf(after))
	d.diffLists(orEmpty(before), orEmpty(after))
	slices.SortFunc(d.changes, func(a, b Change) int {
		return cmp.Compare(a.Path, b.Path)
	})
	return d.changes
}

// differ collects changes.
type differ struct {
	changes []Change
}

func (d *differ) diffLists(before, after *Settings) {
	diffList(sectionFailureDomains, before.FailureDomains, after.FailureDomains,
		func(f *FailureDomain) string { return string(f.Name) },
		func(path string, b, a *FailureDomain) { diffFields(d, path, failureDomainFields, b, a) })
	diffList(sectionEntrySlots, before.EntrySlots, after.EntrySlots,
		func(e *EntrySlot) string { return string(e.Name) },
		func(path string, b, a *EntrySlot) { diffFields(d, path, entrySlotFields, b, a) })
	diffList(sectionServices, before.Services, after.Services,
		func(s *Service) string { return string(s.Name) },
		d.diffService)
	diffList(sectionClasses, before.Classes, after.Classes,
		func(c *RequestClass) string { return string(c.Class.Name) },
		func(path string, b, a *RequestClass) { diffFields(d, path, classFields, b, a) })
}

func (d *differ) diffService(path string, before, after *Service) {
	diffFields(d, path, serviceFields, before, after)
	diffList(joinPath(path, sectionLeaves), leavesOf(before), leavesOf(after),
		func(l *anvilmodel.Leaf) string { return string(l.Name) },
		d.diffLeaf)
}

// diffLeaf compares the leafs as a whole first: most of thousands are the same.
func (d *differ) diffLeaf(path string, before, after *anvilmodel.Leaf) {
	if before != nil && after != nil && *before == *after {
		return
	}
	diffFields(d, path, leafFields, before, after)
}

// diffFields adds the fields that differ; nil stands for no field at all.
func diffFields[T any](d *differ, path string, fields []field[T], before, after *T) {
	for i := range fields {
		f := &fields[i]
		old, current := formatField(f, before), formatField(f, after)
		if old == current {
			continue
		}
		d.changes = append(d.changes, Change{
			Path: joinPath(path, f.key),
			Old:  old,
			New:  current,
		})
	}
}

func formatField[T any](f *field[T], target *T) string {
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
		pair(joinPath(section, key), &before[i], remaining[key])
		delete(remaining, key)
	}
	for key, a := range remaining {
		pair(joinPath(section, key), nil, a)
	}
}

func orEmpty(s *Settings) *Settings {
	if s == nil {
		return &Settings{}
	}
	return s
}

func siteHeader(s *Settings) *overlayHeader {
	if s == nil {
		return nil
	}
	return &overlayHeader{
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

func leavesOf(s *Service) []anvilmodel.Leaf {
	if s == nil {
		return nil
	}
	return s.Leaves
}
