package anvilconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// validator checks that the fields of the effective settings are consistent with
// each other. It skips fields without an accepted value, because these have a
// finding already.
type validator struct {
	*settingsBuilder
	settings *Settings
}

// fieldRef refers to a field that a check involves.
type fieldRef struct {
	path   string
	shared bool
}

func siteField(path string) fieldRef {
	return fieldRef{
		path: path,
	}
}

func sharedField(path string) fieldRef {
	return fieldRef{
		path:   path,
		shared: true,
	}
}

func (v *validator) allValid(fields ...fieldRef) bool {
	return !slices.ContainsFunc(fields, func(f fieldRef) bool {
		return v.invalidFields[f.path]
	})
}

// report adds a finding on a violated rule that involves the given fields. Its
// position is that of the first field that an overlay sets, because the base file
// is consistent without the overlay, or else of the first field that is set. The
// message names the site if the overlay of the site sets one of the fields.
func (v *validator) report(message, accepted string, fields ...fieldRef) {
	pos, path, siteSpecific := position{}, "", false
	for _, f := range fields {
		n := v.find(f.path, f.shared)
		if n == nil {
			continue
		}
		inOverlay := n.pos.document != v.base.name
		siteSpecific = siteSpecific || inOverlay && !f.shared
		if path == "" || inOverlay && pos.document == v.base.name {
			pos, path = n.pos, f.path
		}
	}
	if path == "" {
		pos, path = v.entryPosition(fields[0].path), fields[0].path
	}
	if siteSpecific {
		message += " at site " + string(v.settings.Site)
	}
	v.reporter.add(pos, path, message, accepted)
}

// entryPosition returns the position of the innermost named entry that contains
// the path, or the start of the base file.
func (v *validator) entryPosition(path string) position {
	for nested := true; nested; {
		if pos, found := v.base.entryPositions[path]; found {
			return pos
		}
		path, nested = parentPath(path)
	}
	return v.base.startPosition()
}

// validateShared checks the settings that all sites share.
func (v *validator) validateShared() {
	v.validateSections()
	for i := range v.settings.Services {
		v.validateService(&v.settings.Services[i])
	}
	v.validateFailureDomains()
	v.validateLeafUniqueness()
}

// validateSections reports missing and empty sections.
func (v *validator) validateSections() {
	for _, section := range []string{sectionFailureDomains, sectionEntrySlots, sectionServices, sectionClasses} {
		if len(v.base.entryNames[section]) == 0 && !v.base.rejected[section] {
			v.reporter.add(v.base.startPosition(), section, "the section is missing or empty", "one entry or more")
		}
	}
	if _, isSet := v.base.values[keySites]; !isSet && !v.base.rejected[keySites] {
		v.reporter.add(v.base.startPosition(), keySites, "the list of sites is missing", "list of one or more different names")
	}
}

func (v *validator) validateService(s *Service) {
	path := joinPath(sectionServices, string(s.Name))
	slots, connections := sharedField(path+".slots"), sharedField(path+".connections")
	coldConcurrency := sharedField(path + ".cold-concurrency")
	if v.allValid(slots, coldConcurrency) && s.ColdConcurrency > s.Slots {
		v.report(fmt.Sprintf("cold-concurrency %d is above slots %d", s.ColdConcurrency, s.Slots),
			"cold-concurrency up to slots", coldConcurrency, slots)
	}
	if v.allValid(slots, connections) && s.Connections < s.Slots {
		v.report(fmt.Sprintf("connections %d is below slots %d", s.Connections, s.Slots),
			"connections of slots or more", connections, slots)
	}
	leavesPath := joinPath(path, sectionLeaves)
	if len(s.Leaves) == 0 && !v.base.rejected[leavesPath] {
		v.reporter.add(v.entryPosition(path), leavesPath, "the service has no leaves", "one leaf or more")
	}
}

// validateFailureDomains reports failure domains that are used but not declared,
// and those that are declared but not used.
func (v *validator) validateFailureDomains() {
	used := map[anvilmodel.FailureDomain]bool{}
	usesKnown := true
	addUse := func(path string, domain anvilmodel.FailureDomain) {
		f := sharedField(path + ".failure-domain")
		if !v.allValid(f) {
			usesKnown = false
			return
		}
		used[domain] = true
		if _, declared := v.settings.FailureDomain(domain); !declared && !v.base.rejected[sectionFailureDomains] {
			v.report("failure domain "+string(domain)+" is not declared", oneOf(v.base.entryNames[sectionFailureDomains]), f)
		}
	}
	for _, e := range v.settings.EntrySlots {
		addUse(joinPath(sectionEntrySlots, string(e.Name)), e.FailureDomain)
	}
	for _, s := range v.settings.Services {
		for _, l := range s.Leaves {
			addUse(leafPath(l), l.FailureDomain)
		}
	}
	for _, d := range v.settings.FailureDomains {
		if usesKnown && !used[d.Name] {
			path := joinPath(sectionFailureDomains, string(d.Name))
			v.reporter.add(v.entryPosition(path), path, "no leaf and no entry slot is in this failure domain",
				"failure domains in use")
		}
	}
}

// leafIdentifier is where the name or the address of a leaf is set.
type leafIdentifier struct {
	path string
	pos  position
}

// validateLeafUniqueness reports leaves with the name or the address of another leaf.
func (v *validator) validateLeafUniqueness() {
	names := map[anvilmodel.LeafName]leafIdentifier{}
	addresses := map[netip.AddrPort]leafIdentifier{}
	for _, s := range v.settings.Services {
		for _, l := range s.Leaves {
			path := leafPath(l)
			reportDuplicate(v, names, l.Name, leafIdentifier{
				path: path,
				pos:  v.entryPosition(path),
			}, "leaf name")
			addressPath := path + ".address"
			if n := v.find(addressPath, true); n != nil {
				reportDuplicate(v, addresses, l.Address, leafIdentifier{
					path: addressPath,
					pos:  n.pos,
				}, "address")
			}
		}
	}
}

// reportDuplicate adds an identifier to those in use. If its value is already in
// use, it reports the later of the two positions.
func reportDuplicate[K comparable](v *validator, inUse map[K]leafIdentifier, value K, later leafIdentifier, label string) {
	earlier, repeated := inUse[value]
	if !repeated {
		inUse[value] = later
		return
	}
	if v.precedes(later.pos, earlier.pos) {
		earlier, later = later, earlier
	}
	v.reporter.add(later.pos, later.path, fmt.Sprintf("%s %v is also at %v", label, value, earlier.pos),
		"each leaf with its own name and address")
}

// precedes reports whether position a comes before b. The base file comes before
// the overlays, which are ordered by name.
func (v *validator) precedes(a, b position) bool {
	if a.document == b.document {
		return a.line < b.line || a.line == b.line && a.column < b.column
	}
	return a.document == v.base.name || b.document != v.base.name && a.document < b.document
}

// validateSite checks the settings that may differ between sites. longestTimeout
// is the longest class timeout of all sites.
func (v *validator) validateSite(longestTimeout time.Duration) {
	for i := range v.settings.Classes {
		v.validateClass(&v.settings.Classes[i])
	}
	quietPeriod := siteField(joinPath(sectionPolicy, "cold-quiet-period"))
	if v.allValid(quietPeriod) && v.settings.Policy.ColdQuietPeriod < longestTimeout {
		v.report(fmt.Sprintf("cold-quiet-period %v is shorter than the longest class timeout %v of all sites",
			v.settings.Policy.ColdQuietPeriod, longestTimeout), longestTimeout.String()+" or more", quietPeriod)
	}
}

func (v *validator) validateClass(c *RequestClass) {
	path := joinPath(sectionClasses, string(c.Class.Name))
	timeout, reserve := siteField(path+".timeout"), siteField(path+".return-reserve")
	roundTrip := siteField(joinPath(sectionPolicy, "network-round-trip"))
	overhead := c.Class.ReturnReserve + v.settings.Policy.NetworkRoundTrip
	if v.allValid(timeout, reserve, roundTrip) && c.Class.Timeout <= overhead {
		v.report(fmt.Sprintf("timeout %v does not exceed the sum of return-reserve %v and network-round-trip %v",
			c.Class.Timeout, c.Class.ReturnReserve, v.settings.Policy.NetworkRoundTrip),
			"more than "+overhead.String(), timeout, reserve, roundTrip)
	}
	priority := siteField(path + ".priority")
	if v.allValid(priority) && c.Class.NonIdempotent && c.Class.Priority == 0 {
		v.report("a non-idempotent class needs a priority", "integer from 1 to 100", priority, sharedField(path+".non-idempotent"))
	}
	services := siteField(path + ".services")
	if v.base.rejected[sectionServices] {
		return
	}
	for _, name := range c.Services {
		if _, declared := v.settings.Service(name); !declared {
			v.report("unknown service "+string(name), oneOf(v.base.entryNames[sectionServices]), services)
		}
	}
}

func leafPath(l anvilmodel.Leaf) string {
	return joinPath(joinPath(joinPath(sectionServices, string(l.Service)), sectionLeaves), string(l.Name))
}
