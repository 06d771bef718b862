package anvilconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// validator checks fields against each other, in the effective configuration of
// one site. Fields without an accepted value have a finding already and are
// left out.
type validator struct {
	*settingsBuilder
	settings *Settings
}

// fieldRef is a field that takes part in a check.
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

func (j *validator) allValid(operands ...fieldRef) bool {
	return !slices.ContainsFunc(operands, func(o fieldRef) bool {
		return j.invalidFields[o.path]
	})
}

// report reports a breach at the first operand that an overlay states, because
// the base file was right without it; failing that, at the first one stated.
// The site is named when its own overlay takes part.
func (j *validator) report(message, accepted string, operands ...fieldRef) {
	at, path, own := position{}, "", false
	for _, o := range operands {
		n := j.find(o.path, o.shared)
		if n == nil {
			continue
		}
		inOverlay := n.pos.document != j.base.name
		own = own || inOverlay && !o.shared
		if path == "" || inOverlay && at.document == j.base.name {
			at, path = n.pos, o.path
		}
	}
	if path == "" {
		at, path = j.entryPosition(operands[0].path), operands[0].path
	}
	if own {
		message += " at site " + string(j.settings.Site)
	}
	j.reporter.add(at, path, message, accepted)
}

// entryPosition returns the place of the nearest entry that holds the path.
func (j *validator) entryPosition(path string) position {
	for more := true; more; {
		if at, known := j.base.entryPositions[path]; known {
			return at
		}
		path, more = parentPath(path)
	}
	return j.base.startPosition()
}

// validateShared checks what all sites share.
func (j *validator) validateShared() {
	j.validateSections()
	for i := range j.settings.Services {
		j.validateService(&j.settings.Services[i])
	}
	j.validateFailureDomains()
	j.validateLeafUniqueness()
}

// validateSections reports sections without any entry.
func (j *validator) validateSections() {
	for _, section := range []string{sectionFailureDomains, sectionEntrySlots, sectionServices, sectionClasses} {
		if len(j.base.entryNames[section]) == 0 && !j.base.rejected[section] {
			j.reporter.add(j.base.startPosition(), section, "the section is missing or empty", "one entry or more")
		}
	}
	if _, stated := j.base.values[keySites]; !stated && !j.base.rejected[keySites] {
		j.reporter.add(j.base.startPosition(), keySites, "the list of sites is missing", "list of one or more different names")
	}
}

func (j *validator) validateService(s *Service) {
	path := joinPath(sectionServices, string(s.Name))
	slots, connections := sharedField(path+".slots"), sharedField(path+".connections")
	cold := sharedField(path + ".cold-concurrency")
	if j.allValid(slots, cold) && s.ColdConcurrency > s.Slots {
		j.report(fmt.Sprintf("cold-concurrency %d is above slots %d", s.ColdConcurrency, s.Slots),
			"cold-concurrency up to slots", cold, slots)
	}
	if j.allValid(slots, connections) && s.Connections < s.Slots {
		j.report(fmt.Sprintf("connections %d is under slots %d", s.Connections, s.Slots),
			"connections of slots or more", connections, slots)
	}
	leafs := joinPath(path, sectionLeaves)
	if len(s.Leaves) == 0 && !j.base.rejected[leafs] {
		j.reporter.add(j.entryPosition(path), leafs, "the service has no leafs", "one leaf or more")
	}
}

// validateFailureDomains compares the declared failure validateFailureDomains with those in use.
func (j *validator) validateFailureDomains() {
	used := map[anvilmodel.FailureDomain]bool{}
	complete := true
	use := func(path string, d anvilmodel.FailureDomain) {
		o := sharedField(path + ".failure-domain")
		if !j.allValid(o) {
			complete = false
			return
		}
		used[d] = true
		if _, declared := j.settings.FailureDomain(d); !declared && !j.base.rejected[sectionFailureDomains] {
			j.report("failure domain "+string(d)+" is not declared", oneOf(j.base.entryNames[sectionFailureDomains]), o)
		}
	}
	for _, e := range j.settings.EntrySlots {
		use(joinPath(sectionEntrySlots, string(e.Name)), e.FailureDomain)
	}
	for _, s := range j.settings.Services {
		for _, l := range s.Leaves {
			use(leafPath(l), l.FailureDomain)
		}
	}
	for _, d := range j.settings.FailureDomains {
		if complete && !used[d.Name] {
			path := joinPath(sectionFailureDomains, string(d.Name))
			j.reporter.add(j.entryPosition(path), path, "no leaf and no entry slot is in this failure domain",
				"failure domains in use")
		}
	}
}

// leafIdentifier is the use of a name or an address by a leaf.
type leafIdentifier struct {
	path string
	at   position
}

// validateLeafUniqueness reports leafs that share a name or an address with another leaf.
func (j *validator) validateLeafUniqueness() {
	names := map[anvilmodel.LeafName]leafIdentifier{}
	addresses := map[netip.AddrPort]leafIdentifier{}
	for _, s := range j.settings.Services {
		for _, l := range s.Leaves {
			path := leafPath(l)
			reportDuplicate(j, names, l.Name, leafIdentifier{
				path: path,
				at:   j.entryPosition(path),
			}, "leaf name")
			address := path + ".address"
			if n := j.find(address, true); n != nil {
				reportDuplicate(j, addresses, l.Address, leafIdentifier{
					path: address,
					at:   n.pos,
				}, "address")
			}
		}
	}
}

// reportDuplicate reports the later of two claims to the same key, naming the earlier.
func reportDuplicate[K comparable](j *validator, taken map[K]leafIdentifier, key K, c leafIdentifier, what string) {
	first, repeated := taken[key]
	if !repeated {
		taken[key] = c
		return
	}
	if j.precedes(c.at, first.at) {
		first, c = c, first
	}
	j.reporter.add(c.at, c.path, fmt.Sprintf("%s %v is also at %v", what, key, first.at),
		"each leaf with its own name and address")
}

// precedes orders places: the base file, then the overlays by name.
func (j *validator) precedes(a, b position) bool {
	if a.document == b.document {
		return a.line < b.line || a.line == b.line && a.column < b.column
	}
	return a.document == j.base.name || b.document != j.base.name && a.document < b.document
}

// validateSite checks what may differ from validateSite to validateSite. longest is the longest class
// timeout of all sites.
func (j *validator) validateSite(longest time.Duration) {
	for i := range j.settings.Classes {
		j.validateClass(&j.settings.Classes[i])
	}
	quiet := siteField(joinPath(sectionPolicy, "cold-quiet-period"))
	if j.allValid(quiet) && j.settings.Policy.ColdQuietPeriod < longest {
		j.report(fmt.Sprintf("cold-quiet-period %v is shorter than the longest class timeout %v of all sites",
			j.settings.Policy.ColdQuietPeriod, longest), longest.String()+" or more", quiet)
	}
}

func (j *validator) validateClass(c *RequestClass) {
	path := joinPath(sectionClasses, string(c.Class.Name))
	timeout, reserve := siteField(path+".timeout"), siteField(path+".return-reserve")
	trip := siteField(joinPath(sectionPolicy, "network-round-trip"))
	least := c.Class.ReturnReserve + j.settings.Policy.NetworkRoundTrip
	if j.allValid(timeout, reserve, trip) && c.Class.Timeout <= least {
		j.report(fmt.Sprintf("timeout %v leaves no time beside return-reserve %v and network-round-trip %v",
			c.Class.Timeout, c.Class.ReturnReserve, j.settings.Policy.NetworkRoundTrip),
			"more than "+least.String(), timeout, reserve, trip)
	}
	priority := siteField(path + ".priority")
	if j.allValid(priority) && c.Class.NonIdempotent && c.Class.Priority == 0 {
		j.report("a non-idempotent class needs a priority", "integer from 1 to 100", priority, sharedField(path+".non-idempotent"))
	}
	services := siteField(path + ".services")
	if j.base.rejected[sectionServices] {
		return
	}
	for _, name := range c.Services {
		if _, known := j.settings.Service(name); !known {
			j.report("unknown service "+string(name), oneOf(j.base.entryNames[sectionServices]), services)
		}
	}
}

func leafPath(l anvilmodel.Leaf) string {
	return joinPath(joinPath(joinPath(sectionServices, string(l.Service)), sectionLeaves), string(l.Name))
}
