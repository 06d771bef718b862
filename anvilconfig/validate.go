package anvilconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"anvilbridge/anvilmodel"
)

// judge checks fields against each other, in the effective configuration of
// one site. Fields without an accepted value have a finding already and are
// left out.
type judge struct {
	*builder
	settings *Settings
}

// operand is a field that takes part in a check.
type operand struct {
	path   string
	shared bool
}

func perSite(path string) operand {
	return operand{
		path: path,
	}
}

func shared(path string) operand {
	return operand{
		path:   path,
		shared: true,
	}
}

func (j *judge) usable(operands ...operand) bool {
	return !slices.ContainsFunc(operands, func(o operand) bool {
		return j.unusable[o.path]
	})
}

// fault reports a breach at the first operand that an overlay states, because
// the base file was right without it; failing that, at the first one stated.
// The site is named when its own overlay takes part.
func (j *judge) fault(message, accepted string, operands ...operand) {
	at, path, own := place{}, "", false
	for _, o := range operands {
		n := j.find(o.path, o.shared)
		if n == nil {
			continue
		}
		inOverlay := n.at.document != j.base.name
		own = own || inOverlay && !o.shared
		if path == "" || inOverlay && at.document == j.base.name {
			at, path = n.at, o.path
		}
	}
	if path == "" {
		at, path = j.entryPlace(operands[0].path), operands[0].path
	}
	if own {
		message += " at site " + string(j.settings.Site)
	}
	j.reporter.add(at, path, message, accepted)
}

// entryPlace returns the place of the nearest entry that holds the path.
func (j *judge) entryPlace(path string) place {
	for more := true; more; {
		if at, known := j.base.places[path]; known {
			return at
		}
		path, more = cutLast(path)
	}
	return j.base.start()
}

// deployment checks what all sites share.
func (j *judge) deployment() {
	j.present()
	for i := range j.settings.Services {
		j.service(&j.settings.Services[i])
	}
	j.domains()
	j.duplicates()
}

// present reports sections without any entry.
func (j *judge) present() {
	for _, section := range []string{sectionDomains, sectionSlots, sectionServices, sectionClasses} {
		if len(j.base.names[section]) == 0 && !j.base.refused[section] {
			j.reporter.add(j.base.start(), section, "the section is missing or empty", "one entry or more")
		}
	}
	if _, stated := j.base.values[keySites]; !stated && !j.base.refused[keySites] {
		j.reporter.add(j.base.start(), keySites, "the list of sites is missing", "list of one or more different names")
	}
}

func (j *judge) service(s *Service) {
	path := join(sectionServices, string(s.Name))
	slots, connections := shared(path+".slots"), shared(path+".connections")
	cold := shared(path + ".cold-concurrency")
	if j.usable(slots, cold) && s.ColdConcurrency > s.Slots {
		j.fault(fmt.Sprintf("cold-concurrency %d is above slots %d", s.ColdConcurrency, s.Slots),
			"cold-concurrency up to slots", cold, slots)
	}
	if j.usable(slots, connections) && s.Connections < s.Slots {
		j.fault(fmt.Sprintf("connections %d is under slots %d", s.Connections, s.Slots),
			"connections of slots or more", connections, slots)
	}
	leafs := join(path, sectionLeafs)
	if len(s.Leaves) == 0 && !j.base.refused[leafs] {
		j.reporter.add(j.entryPlace(path), leafs, "the service has no leafs", "one leaf or more")
	}
}

// domains compares the declared failure domains with those in use.
func (j *judge) domains() {
	used := map[anvilmodel.FailureDomain]bool{}
	complete := true
	use := func(path string, d anvilmodel.FailureDomain) {
		o := shared(path + ".failure-domain")
		if !j.usable(o) {
			complete = false
			return
		}
		used[d] = true
		if _, declared := j.settings.FailureDomain(d); !declared && !j.base.refused[sectionDomains] {
			j.fault("failure domain "+string(d)+" is not declared", oneOf(j.base.names[sectionDomains]), o)
		}
	}
	for _, e := range j.settings.EntrySlots {
		use(join(sectionSlots, string(e.Name)), e.FailureDomain)
	}
	for _, s := range j.settings.Services {
		for _, l := range s.Leaves {
			use(leafPath(l), l.FailureDomain)
		}
	}
	for _, d := range j.settings.FailureDomains {
		if complete && !used[d.Name] {
			path := join(sectionDomains, string(d.Name))
			j.reporter.add(j.entryPlace(path), path, "no leaf and no entry slot is in this failure domain",
				"failure domains in use")
		}
	}
}

// claim is the use of a name or an address by a leaf.
type claim struct {
	path string
	at   place
}

// duplicates reports leafs that share a name or an address with another leaf.
func (j *judge) duplicates() {
	names := map[anvilmodel.LeafName]claim{}
	addresses := map[netip.AddrPort]claim{}
	for _, s := range j.settings.Services {
		for _, l := range s.Leaves {
			path := leafPath(l)
			claimOnce(j, names, l.Name, claim{
				path: path,
				at:   j.entryPlace(path),
			}, "leaf name")
			address := path + ".address"
			if n := j.find(address, true); n != nil {
				claimOnce(j, addresses, l.Address, claim{
					path: address,
					at:   n.at,
				}, "address")
			}
		}
	}
}

// claimOnce reports the later of two claims to the same key, naming the earlier.
func claimOnce[K comparable](j *judge, taken map[K]claim, key K, c claim, what string) {
	first, repeated := taken[key]
	if !repeated {
		taken[key] = c
		return
	}
	if j.before(c.at, first.at) {
		first, c = c, first
	}
	j.reporter.add(c.at, c.path, fmt.Sprintf("%s %v is also at %v", what, key, first.at),
		"each leaf with its own name and address")
}

// before orders places: the base file, then the overlays by name.
func (j *judge) before(a, b place) bool {
	if a.document == b.document {
		return a.line < b.line || a.line == b.line && a.column < b.column
	}
	return a.document == j.base.name || b.document != j.base.name && a.document < b.document
}

// site checks what may differ from site to site. longest is the longest class
// timeout of all sites.
func (j *judge) site(longest time.Duration) {
	for i := range j.settings.Classes {
		j.class(&j.settings.Classes[i])
	}
	quiet := perSite(join(sectionPolicy, "cold-quiet-period"))
	if j.usable(quiet) && j.settings.Policy.ColdQuietPeriod < longest {
		j.fault(fmt.Sprintf("cold-quiet-period %v is shorter than the longest class timeout %v of all sites",
			j.settings.Policy.ColdQuietPeriod, longest), longest.String()+" or more", quiet)
	}
}

func (j *judge) class(c *RequestClass) {
	path := join(sectionClasses, string(c.Class.Name))
	timeout, reserve := perSite(path+".timeout"), perSite(path+".return-reserve")
	trip := perSite(join(sectionPolicy, "network-round-trip"))
	least := c.Class.ReturnReserve + j.settings.Policy.NetworkRoundTrip
	if j.usable(timeout, reserve, trip) && c.Class.Timeout <= least {
		j.fault(fmt.Sprintf("timeout %v leaves no time beside return-reserve %v and network-round-trip %v",
			c.Class.Timeout, c.Class.ReturnReserve, j.settings.Policy.NetworkRoundTrip),
			"more than "+least.String(), timeout, reserve, trip)
	}
	priority := perSite(path + ".priority")
	if j.usable(priority) && c.Class.NonIdempotent && c.Class.Priority == 0 {
		j.fault("a non-idempotent class needs a priority", "integer from 1 to 100", priority, shared(path+".non-idempotent"))
	}
	services := perSite(path + ".services")
	if j.base.refused[sectionServices] {
		return
	}
	for _, name := range c.Services {
		if _, known := j.settings.Service(name); !known {
			j.fault("unknown service "+string(name), oneOf(j.base.names[sectionServices]), services)
		}
	}
}

func leafPath(l anvilmodel.Leaf) string {
	return join(join(join(sectionServices, string(l.Service)), sectionLeafs), string(l.Name))
}
