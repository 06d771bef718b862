package anvilconfig

import (
	"maps"
	"slices"
)

// shape is what a mapping of the format may hold: known keys, or entries under
// names of the operator's choice.
type shape struct {
	fields map[string]check
	parts  map[string]*shape
	// named is the shape of each entry of a mapping by name.
	named *shape
	// label says what a name stands for.
	label string
}

// check is a field without its target type.
type check struct {
	accepted string
	shared   bool
	// problem says what is wrong with a value; empty if it is accepted.
	problem func(*node) string
	// canonical returns an accepted value in its only form.
	canonical func(*node) string
}

func checksOf[T any](fields []field[T]) map[string]check {
	checks := make(map[string]check, len(fields))
	for _, f := range fields {
		checks[f.key] = check{
			accepted: f.accepted,
			shared:   f.shared,
			problem: func(n *node) string {
				var scratch T
				return f.set(&scratch, n)
			},
			canonical: func(n *node) string {
				var scratch T
				f.set(&scratch, n)
				return f.get(&scratch)
			},
		}
	}
	return checks
}

func entries[T any](label string, fields []field[T]) *shape {
	return &shape{
		label: label,
		named: &shape{
			fields: checksOf(fields),
		},
	}
}

func section[T any](fields []field[T]) *shape {
	return &shape{
		fields: checksOf(fields),
	}
}

// baseShape and overlayShape differ in the field that names the sites.
var (
	baseShape = &shape{
		fields: checksOf(baseFields),
		parts:  sections(),
	}
	overlayShape = &shape{
		fields: checksOf(overlayFields),
		parts:  sections(),
	}
)

func sections() map[string]*shape {
	services := entries("service", serviceFields)
	services.named.parts = map[string]*shape{
		sectionLeafs: entries("leaf", leafFields),
	}
	return map[string]*shape{
		sectionDomains:  entries("failure domain", domainFields),
		sectionSlots:    entries("entry slot", slotFields),
		sectionServices: services,
		sectionClasses:  entries("class", classFields),
		sectionPolicy:   section(policyFields),
		sectionLimits:   section(limitFields),
	}
}

// keys returns all keys that the shape knows.
func (s *shape) keys() []string {
	known := slices.Collect(maps.Keys(s.fields))
	known = slices.AppendSeq(known, maps.Keys(s.parts))
	slices.Sort(known)
	return known
}
