package anvilconfig

import (
	"cmp"
	"slices"

	"anvilbridge/anvilmodel"
)

// Change is a field that differs between two configurations.
type Change struct {
	// Path identifies the field, such as services.registry-portal.slots.
	Path string
	// Old and New are the values in the format of Render. An empty value means that
	// the field is absent.
	Old string
	New string
}

// Diff returns the fields that differ, sorted by path. A nil argument stands for
// a configuration without any fields.
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

// differ collects the changes between two configurations.
type differ struct {
	changes []Change
}

func (d *differ) diffLists(before, after *Settings) {
	diffList(sectionFailureDomains, before.FailureDomains, after.FailureDomains,
		func(domain *FailureDomain) string { return string(domain.Name) },
		func(path string, before, after *FailureDomain) {
			diffFields(d, path, failureDomainFields, before, after)
		})
	diffList(sectionEntrySlots, before.EntrySlots, after.EntrySlots,
		func(slot *EntrySlot) string { return string(slot.Name) },
		func(path string, before, after *EntrySlot) { diffFields(d, path, entrySlotFields, before, after) })
	diffList(sectionServices, before.Services, after.Services,
		func(service *Service) string { return string(service.Name) },
		d.diffService)
	diffList(sectionClasses, before.Classes, after.Classes,
		func(class *RequestClass) string { return string(class.Class.Name) },
		func(path string, before, after *RequestClass) { diffFields(d, path, classFields, before, after) })
}

func (d *differ) diffService(path string, before, after *Service) {
	diffFields(d, path, serviceFields, before, after)
	diffList(joinPath(path, sectionLeaves), leavesOf(before), leavesOf(after),
		func(leaf *anvilmodel.Leaf) string { return string(leaf.Name) },
		d.diffLeaf)
}

// diffLeaf compares the structs first, because there are thousands of leaves and
// most of them are unchanged.
func (d *differ) diffLeaf(path string, before, after *anvilmodel.Leaf) {
	if before != nil && after != nil && *before == *after {
		return
	}
	diffFields(d, path, leafFields, before, after)
}

// diffFields adds the fields that differ. A nil argument stands for a value
// without any fields.
func diffFields[T any](d *differ, path string, fields []field[T], before, after *T) {
	for i := range fields {
		f := &fields[i]
		oldValue, newValue := formatField(f, before), formatField(f, after)
		if oldValue == newValue {
			continue
		}
		d.changes = append(d.changes, Change{
			Path: joinPath(path, f.key),
			Old:  oldValue,
			New:  newValue,
		})
	}
}

func formatField[T any](f *field[T], target *T) string {
	if target == nil {
		return ""
	}
	return f.format(target)
}

// diffList calls compare for each name in either list. before or after is nil if
// only the other list contains the name.
func diffList[T any](section string, before, after []T, nameOf func(*T) string, compare func(path string, before, after *T)) {
	remaining := make(map[string]*T, len(after))
	for i := range after {
		remaining[nameOf(&after[i])] = &after[i]
	}
	for i := range before {
		name := nameOf(&before[i])
		compare(joinPath(section, name), &before[i], remaining[name])
		delete(remaining, name)
	}
	for name, added := range remaining {
		compare(joinPath(section, name), nil, added)
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
