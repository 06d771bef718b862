package anvilconfig

import (
	"maps"
	"slices"
)

// mappingSchema describes a mapping of the format. A mapping holds either known
// keys, which are fields and sections, or entries with names that the operator
// chooses.
type mappingSchema struct {
	fields   map[string]fieldRule
	sections map[string]*mappingSchema
	// entrySchema is the schema of each named entry; nil for known keys.
	entrySchema *mappingSchema
	// entryKind is what the entries are called in findings, such as "leaf".
	entryKind string
}

// fieldRule is the part of a field that does not depend on its target type.
type fieldRule struct {
	accepted string
	shared   bool
	// validate returns why a value is not accepted, or "" if it is accepted.
	validate func(*yamlNode) string
	// canonicalText returns an accepted value in canonical form, so that equal
	// values have equal texts.
	canonicalText func(*yamlNode) string
}

func fieldRules[T any](fields []field[T]) map[string]fieldRule {
	rules := make(map[string]fieldRule, len(fields))
	for _, f := range fields {
		rules[f.key] = fieldRule{
			accepted: f.accepted,
			shared:   f.shared,
			validate: func(n *yamlNode) string {
				var target T
				return f.parse(&target, n)
			},
			canonicalText: func(n *yamlNode) string {
				var target T
				f.parse(&target, n)
				return f.format(&target)
			},
		}
	}
	return rules
}

func namedEntriesSchema[T any](entryKind string, fields []field[T]) *mappingSchema {
	return &mappingSchema{
		entryKind: entryKind,
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

// baseSchema and overlaySchema differ only in the header: a base file lists all
// sites, and an overlay names one.
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

// knownKeys returns the keys of all fields and sections, sorted.
func (s *mappingSchema) knownKeys() []string {
	keys := slices.Collect(maps.Keys(s.fields))
	keys = slices.AppendSeq(keys, maps.Keys(s.sections))
	slices.Sort(keys)
	return keys
}
