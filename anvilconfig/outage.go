package anvilconfig

import (
	"fmt"
	"slices"
	"strings"
)

// failureDomainState returns the state of a failure domain as a document has it, and
// where; found is false when the document does not say.
func (d *decodedDocument) failureDomainState(domain string) (out bool, at position, found bool) {
	v, found := d.values[joinPath(joinPath(sectionFailureDomains, domain), "state")]
	if !found {
		return false, position{}, false
	}
	return v.node.text == DomainOutOfService.String(), v.node.pos, true
}

// validateFailureDomainStates reports the base file or an overlay that takes out every failure
// domain, and overlays that do so together. Overlays are judged one by one
// first, so that the finding names the document to change.
func validateFailureDomainStates(base *decodedDocument, overlays []*decodedDocument, r *reporter) {
	domains := slices.Sorted(slices.Values(base.entryNames[sectionFailureDomains]))
	if len(domains) == 0 || base.malformed {
		return
	}
	reported := false
	for _, o := range overlays {
		places, all := outagePositions(domains, base, []*decodedDocument{o})
		if !all || !slices.ContainsFunc(places, func(p position) bool { return p.document == o.name }) {
			continue
		}
		reported = true
		reportOutage(places, "the overlay takes out every failure domain", r)
	}
	if reported {
		return
	}
	if places, all := outagePositions(domains, base, overlays); all {
		reportOutage(places, "every failure domain is taken out", r)
	}
}

// outagePositions returns where the failure domains are taken out, and whether all
// of them are. A failure domain is out when one of the overlays takes it out,
// or when the base file does and no overlay brings it back.
func outagePositions(domains []string, base *decodedDocument, overlays []*decodedDocument) (places []position, all bool) {
	for _, domain := range domains {
		at, out := outagePosition(domain, base, overlays)
		if !out {
			return nil, false
		}
		places = append(places, at)
	}
	return places, true
}

func outagePosition(domain string, base *decodedDocument, overlays []*decodedDocument) (at position, out bool) {
	stated := false
	for _, o := range overlays {
		outHere, place, found := o.failureDomainState(domain)
		if found && outHere {
			return place, true
		}
		stated = stated || found
	}
	if stated {
		return position{}, false
	}
	out, at, _ = base.failureDomainState(domain)
	return at, out
}

// reportOutage reports at the last place and names all of them.
func reportOutage(places []position, message string, r *reporter) {
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
	r.add(last, sectionFailureDomains, fmt.Sprintf("%s (%s)", message, strings.Join(texts, ", ")),
		"one failure domain or more with state in")
}
