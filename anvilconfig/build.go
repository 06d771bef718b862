package anvilconfig

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// settingsBuilder turns layers into settings. It reports required fields that no
// document states.
type settingsBuilder struct {
	layers
	reporter *reporter
	// invalidFields holds the paths of fields without an accepted value.
	invalidFields map[string]bool
}

// setFields sets the fields of one entry; what no document states keeps its default.
func setFields[T any](b *settingsBuilder, target *T, path string, fields []field[T]) {
	for i := range fields {
		f := &fields[i]
		p := joinPath(path, f.key)
		if n := b.find(p, f.shared); n != nil {
			f.set(target, n)
			continue
		}
		if b.base.rejected[p] {
			b.invalidFields[p] = true
			continue
		}
		if f.required {
			b.invalidFields[p] = true
			b.reporter.add(b.base.entryPositions[path], p, "the field is missing", f.accepted)
		}
	}
}

// buildEntries builds the entries of one section, sorted by name.
func buildEntries[T any](b *settingsBuilder, section string, fresh func(name string) T, fields []field[T]) []T {
	names := slices.Sorted(slices.Values(b.base.entryNames[section]))
	result := make([]T, 0, len(names))
	for _, name := range names {
		one := fresh(name)
		setFields(b, &one, joinPath(section, name), fields)
		result = append(result, one)
	}
	return result
}

// buildShared builds what all sites share. Only the shared fields of the policy
// are final.
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

// buildSite builds the configuration of one buildSite on top of what all sites share.
func (b *settingsBuilder) buildSite(name SiteName, deployment Settings) *Settings {
	s := deployment
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

// applyClassDefaults sets the defaults that depend on other fields. A non-idempotent
// class keeps priority 0, which the validation reports.
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

// applyQuietPeriodDefaults sets the default of the cold quiet period: calls of a
// node's predecessor may have come from any site, so the longest class timeout
// of all sites counts.
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
