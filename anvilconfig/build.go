package anvilconfig

import (
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// builder turns layers into settings. It reports required fields that no
// document states.
type builder struct {
	layers
	reporter *reporter
	// unusable holds the paths of fields without an accepted value.
	unusable map[string]bool
}

// fill sets the fields of one entry; what no document states keeps its default.
func fill[T any](b *builder, target *T, path string, fields []field[T]) {
	for i := range fields {
		f := &fields[i]
		p := join(path, f.key)
		if n := b.find(p, f.shared); n != nil {
			f.set(target, n)
			continue
		}
		if b.base.refused[p] {
			b.unusable[p] = true
			continue
		}
		if f.required {
			b.unusable[p] = true
			b.reporter.add(b.base.places[path], p, "the field is missing", f.accepted)
		}
	}
}

// list builds the entries of one section, sorted by name.
func list[T any](b *builder, section string, fresh func(name string) T, fields []field[T]) []T {
	names := slices.Sorted(slices.Values(b.base.names[section]))
	result := make([]T, 0, len(names))
	for _, name := range names {
		one := fresh(name)
		fill(b, &one, join(section, name), fields)
		result = append(result, one)
	}
	return result
}

// deployment builds what all sites share. Only the shared fields of the policy
// are final.
func (b *builder) deployment() Settings {
	s := Settings{
		FailureDomains: list(b, sectionDomains, defaultDomain, domainFields),
		EntrySlots: list(b, sectionSlots, func(name string) EntrySlot {
			return EntrySlot{
				Name: anvilmodel.SlotName(name),
			}
		}, slotFields),
		Services: list(b, sectionServices, defaultService, serviceFields),
	}
	for i := range s.Services {
		service := &s.Services[i]
		section := join(join(sectionServices, string(service.Name)), sectionLeafs)
		service.Leaves = list(b, section, func(name string) anvilmodel.Leaf {
			return anvilmodel.Leaf{
				Name:    anvilmodel.LeafName(name),
				Service: service.Name,
			}
		}, leafFields)
	}
	return s
}

// site builds the configuration of one site on top of what all sites share.
func (b *builder) site(name SiteName, deployment Settings) *Settings {
	s := deployment
	s.Site = name
	s.Classes = list(b, sectionClasses, defaultClass, classFields)
	for i := range s.Classes {
		b.completeClass(&s.Classes[i], s.Services)
	}
	s.Policy = defaultPolicy()
	fill(b, &s.Policy, sectionPolicy, policyFields)
	s.Limits = defaultLimits()
	fill(b, &s.Limits, sectionLimits, limitFields)
	return &s
}

// completeClass sets the defaults that depend on other fields. A non-idempotent
// class keeps priority 0, which the validation reports.
func (b *builder) completeClass(c *RequestClass, services []Service) {
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

// completeQuietPeriods sets the default of the cold quiet period: calls of a
// node's predecessor may have come from any site, so the longest class timeout
// of all sites counts.
func completeQuietPeriods(settings []*Settings) (longest time.Duration) {
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
