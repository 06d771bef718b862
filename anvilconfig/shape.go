package anvilconfig

import (
	"maps"
	"slices"
)

// mappingSchema is what a mapping of the format may hold: known keys, or entries under
// names of the operator's choice.
type mappingSchema struct {
	fields   map[string]fieldRule
	sections map[string]*mappingSchema
	// entrySchema is the shape of each entry of a mapping by name.
	entrySchema *mappingSchema
	// entryKind says what a name stands for.
	entryKind string
}

// fieldRule is a field without its target type.
type fieldRule struct {
	accepted string
	shared   bool
	// validate says what is wrong with a value; empty if it is accepted.
	validate func(*yamlNode) string
	// canonicalText returns an accepted value in its only form.
	canonicalText func(*yamlNode) string
}

func fieldRules[T any](fields []field[T]) map[string]fieldRule {
	checks := make(map[string]fieldRule, len(fields))
	for _, f := range fields {
		checks[f.key] = fieldRule{
			accepted: f.accepted,
			shared:   f.shared,
			validate: func(n *yamlNode) string {
				var scratch T
				return f.set(&scratch, n)
			},
			canonicalText: func(n *yamlNode) string {
				var scratch T
				f.set(&scratch, n)
				return f.get(&scratch)
			},
		}
	}
	return checks
}

func namedEntriesSchema[T any](label string, fields []field[T]) *mappingSchema {
	return &mappingSchema{
		entryKind: label,
		entrySchema: &mappingSchema{
			fields: fieldRules(fields),
		},
	}
}

func sectionSchema[T any](fields []field[T]) *mappingSchema {
	return &mappingSchema{
		fields: fieldRules(fields),
	}
}

// baseSchema and overlaySchema differ in the field that names the sites.
var (
	baseSchema = &mappingSchema{
		fields:   fieldRules(baseHeaderFields),
		sections: sectionSchemas(),
	}
	overlaySchema = &mappingSchema{
		fields:   fieldRules(overlayHeaderFields),
		sections: sectionSchemas(),
	}
)

func sectionSchemas() map[string]*mappingSchema {
	services := namedEntriesSchema("service", serviceFields)
	services.entrySchema.sections = map[string]*mappingSchema{
		sectionLeaves: namedEntriesSchema("leaf", leafFields),
	}
	return map[string]*mappingSchema{
		sectionFailureDomains: namedEntriesSchema("failure domain", failureDomainFields),
		sectionEntrySlots:     namedEntriesSchema("entry slot", entrySlotFields),
		sectionServices:       services,
		sectionClasses:        namedEntriesSchema("class", classFields),
		sectionPolicy:         sectionSchema(policyFields),
		sectionLimits:         sectionSchema(limitsFields),
	}
}

// knownKeys returns all knownKeys that the shape knows.
func (s *mappingSchema) knownKeys() []string {
	known := slices.Collect(maps.Keys(s.fields))
	known = slices.AppendSeq(known, maps.Keys(s.sections))
	slices.Sort(known)
	return known
}
