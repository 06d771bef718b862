package anvilconfig

import (
	"fmt"
	"slices"
	"strings"
)

// stateOf returns the state of a failure domain as a document has it, and
// where; found is false when the document does not say.
func (d *decoded) stateOf(domain string) (out bool, at place, found bool) {
	v, found := d.values[join(join(sectionDomains, domain), "state")]
	if !found {
		return false, place{}, false
	}
	return v.node.text == DomainOutOfService.String(), v.node.at, true
}

// judgeOutage reports the base file or an overlay that takes out every failure
// domain, and overlays that do so together. Overlays are judged one by one
// first, so that the finding names the document to change.
func judgeOutage(base *decoded, overlays []*decoded, r *reporter) {
	domains := slices.Sorted(slices.Values(base.names[sectionDomains]))
	if len(domains) == 0 || base.broken {
		return
	}
	reported := false
	for _, o := range overlays {
		places, all := outPlaces(domains, base, []*decoded{o})
		if !all || !slices.ContainsFunc(places, func(p place) bool { return p.document == o.name }) {
			continue
		}
		reported = true
		reportOutage(places, "the overlay takes out every failure domain", r)
	}
	if reported {
		return
	}
	if places, all := outPlaces(domains, base, overlays); all {
		reportOutage(places, "every failure domain is taken out", r)
	}
}

// outPlaces returns where the failure domains are taken out, and whether all
// of them are. A failure domain is out when one of the overlays takes it out,
// or when the base file does and no overlay brings it back.
func outPlaces(domains []string, base *decoded, overlays []*decoded) (places []place, all bool) {
	for _, domain := range domains {
		at, out := outPlace(domain, base, overlays)
		if !out {
			return nil, false
		}
		places = append(places, at)
	}
	return places, true
}

func outPlace(domain string, base *decoded, overlays []*decoded) (at place, out bool) {
	stated := false
	for _, o := range overlays {
		outHere, place, found := o.stateOf(domain)
		if found && outHere {
			return place, true
		}
		stated = stated || found
	}
	if stated {
		return place{}, false
	}
	out, at, _ = base.stateOf(domain)
	return at, out
}

// reportOutage reports at the last place and names all of them.
func reportOutage(places []place, message string, r *reporter) {
	texts := make([]string, 0, len(places))
	for _, p := range places {
		texts = append(texts, p.String())
	}
	last := places[len(places)-1]
	for _, p := range places {
		if p.document == last.document && p.line > last.line {
			last = p
		}
	}
	r.add(last, sectionDomains, fmt.Sprintf("%s (%s)", message, strings.Join(texts, ", ")),
		"one failure domain or more with state in")
}
