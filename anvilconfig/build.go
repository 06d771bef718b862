package anvilconfig

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// settingsBuilder builds the settings of a site from the layers. It reports
// required fields that no document sets.
type settingsBuilder struct {
	layers
	reporter *reporter
	// invalidFields holds the paths of fields whose value is rejected, or missing
	// although required. Validation skips them, because they have a finding
	// already.
	invalidFields map[string]bool
}

// setFields sets the fields of one entry. Fields that no document sets keep their
// default.
func setFields[T any](b *settingsBuilder, target *T, path string, fields []field[T]) {
	for i := range fields {
		f := &fields[i]
		fieldPath := joinPath(path, f.key)
		if n := b.find(fieldPath, f.shared); n != nil {
			f.parse(target, n)
			continue
		}
		if b.base.rejected[fieldPath] {
			b.invalidFields[fieldPath] = true
			continue
		}
		if f.required {
			b.invalidFields[fieldPath] = true
			b.reporter.add(b.base.entryPositions[path], fieldPath, "the field is missing", f.accepted)
		}
	}
}

// buildEntries builds the entries of one section, sorted by name.
func buildEntries[T any](b *settingsBuilder, section string, newEntry func(name string) T, fields []field[T]) []T {
	names := slices.Sorted(slices.Values(b.base.entryNames[section]))
	result := make([]T, 0, len(names))
	for _, name := range names {
		entry := newEntry(name)
		setFields(b, &entry, joinPath(section, name), fields)
		result = append(result, entry)
	}
	return result
}

// buildShared builds the settings that all sites share: failure domains, entry
// slots and services with their leaves.
func (b *settingsBuilder) buildShared() Settings {
	s := Settings{
		FailureDomains: buildEntries(b, sectionFailureDomains, defaultFailureDomain, failureDomainFields),
		EntrySlots: buildEntries(b, sectionEntrySlots, func(name string) EntrySlot {
			return EntrySlot{
				Name: anvilmodel.SlotName(name),
			}
		}, entrySlotFields),
		Services: buildEntries(b, sectionServices, defaultService, serviceFields),
	}
	for i := range s.Services {
		service := &s.Services[i]
		section := joinPath(joinPath(sectionServices, string(service.Name)), sectionLeaves)
		service.Leaves = buildEntries(b, section, func(name string) anvilmodel.Leaf {
			return anvilmodel.Leaf{
				Name:    anvilmodel.LeafName(name),
				Service: service.Name,
			}
		}, leafFields)
	}
	return s
}

// buildSite adds the settings of one site to the shared settings.
func (b *settingsBuilder) buildSite(name SiteName, shared Settings) *Settings {
	s := shared
	s.Site = name
	s.Classes = buildEntries(b, sectionClasses, defaultClass, classFields)
	for i := range s.Classes {
		b.applyClassDefaults(&s.Classes[i], s.Services)
	}
	s.Policy = defaultPolicy()
	setFields(b, &s.Policy, sectionPolicy, policyFields)
	s.Limits = defaultLimits()
	setFields(b, &s.Limits, sectionLimits, limitsFields)
	return &s
}

// applyClassDefaults sets the defaults that depend on other fields. A
// non-idempotent class without a priority keeps 0, which validation reports.
func (b *settingsBuilder) applyClassDefaults(c *RequestClass, services []Service) {
	if c.Class.Priority == 0 && !c.Class.NonIdempotent {
		c.Class.Priority = defaultPriority(c.Class.Mode)
	}
	if c.Services != nil {
		return
	}
	for i := range services {
		c.Services = append(c.Services, services[i].Name)
	}
}

// applyQuietPeriodDefaults sets the default of the cold quiet period, which is
// the longest class timeout of all sites, and returns that timeout. When a node
// takes over a cold leaf, calls that other nodes sent to the leaf may still be
// running, and these may have come from any site.
func applyQuietPeriodDefaults(settings []*Settings) (longest time.Duration) {
	for _, s := range settings {
		longest = max(longest, s.LongestClassTimeout())
	}
	for _, s := range settings {
		if s.Policy.ColdQuietPeriod == 0 {
			s.Policy.ColdQuietPeriod = longest
		}
	}
	return longest
}
