package anvilconfig

import (
	"fmt"
	"slices"
	"strings"
)

// failureDomainState returns whether a document takes a failure domain out of
// service, and the position of that state. found is false if the document does
// not set the state.
func (d *decodedDocument) failureDomainState(domain string) (outOfService bool, pos position, found bool) {
	v, found := d.values[joinPath(joinPath(sectionFailureDomains, domain), "state")]
	if !found {
		return false, position{}, false
	}
	return v.node.text == DomainOutOfService.String(), v.node.pos, true
}

// validateFailureDomainStates reports documents that, alone or together, take
// every failure domain out of service. It checks each overlay on its own first, so
// that the finding names the document to change.
func validateFailureDomainStates(base *decodedDocument, overlays []*decodedDocument, r *reporter) {
	domains := slices.Sorted(slices.Values(base.entryNames[sectionFailureDomains]))
	if len(domains) == 0 || base.malformed {
		return
	}
	reported := false
	for _, o := range overlays {
		positions, allOut := outagePositions(domains, base, []*decodedDocument{o})
		if !allOut || !slices.ContainsFunc(positions, func(p position) bool { return p.document == o.name }) {
			continue
		}
		reported = true
		reportOutage(positions, "the overlay takes out every failure domain", r)
	}
	if reported {
		return
	}
	if positions, allOut := outagePositions(domains, base, overlays); allOut {
		reportOutage(positions, "every failure domain is taken out", r)
	}
}

// outagePositions returns, for each failure domain, the position at which it is
// taken out of service. allOut is false, and positions is nil, if a failure domain
// remains in service.
func outagePositions(domains []string, base *decodedDocument, overlays []*decodedDocument) (positions []position, allOut bool) {
	for _, domain := range domains {
		pos, outOfService := outagePosition(domain, base, overlays)
		if !outOfService {
			return nil, false
		}
		positions = append(positions, pos)
	}
	return positions, true
}

// outagePosition returns the position at which a failure domain is taken out of
// service. A failure domain is out of service if an overlay sets the state to out,
// or if the base file does and no overlay sets the state.
func outagePosition(domain string, base *decodedDocument, overlays []*decodedDocument) (pos position, outOfService bool) {
	setByOverlay := false
	for _, o := range overlays {
		out, pos, found := o.failureDomainState(domain)
		if found && out {
			return pos, true
		}
		setByOverlay = setByOverlay || found
	}
	if setByOverlay {
		return position{}, false
	}
	outOfService, pos, _ = base.failureDomainState(domain)
	return pos, outOfService
}

// reportOutage adds a finding at the last position that lists all positions.
func reportOutage(positions []position, message string, r *reporter) {
	texts := make([]string, 0, len(positions))
	for _, p := range positions {
		texts = append(texts, p.String())
	}
	last := positions[len(positions)-1]
	for _, p := range positions {
		if p.document == last.document && p.line > last.line {
			last = p
		}
	}
	r.add(last, sectionFailureDomains, fmt.Sprintf("%s (%s)", message, strings.Join(texts, ", ")),
		"one failure domain or more with state in")
}
