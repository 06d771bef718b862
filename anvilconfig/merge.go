package anvilconfig

import "fmt"

// layers are the documents in order of precedence for one site.
type layers struct {
	base *decodedDocument
	// shared holds what any overlay says about the whole deployment.
	shared map[string]acceptedValue
	// overlay is the overlay of the site; it may be nil.
	overlay *decodedDocument
}

// find returns the node in force for a field, or nil if no document states one.
func (l *layers) find(path string, shared bool) *yamlNode {
	if shared {
		if v, stated := l.shared[path]; stated {
			return v.node
		}
	} else if l.overlay != nil {
		if v, stated := l.overlay.values[path]; stated {
			return v.node
		}
	}
	if v, stated := l.base.values[path]; stated {
		return v.node
	}
	return nil
}

// origin returns where the value in force of a field is stated, or "default".
func (l *layers) origin(path string, shared bool) string {
	n := l.find(path, shared)
	if n == nil {
		return "default"
	}
	return n.pos.String()
}

// mergeShared joins what the overlays say about the whole deployment. Two
// overlays that disagree on a field are reported at the later one.
func mergeShared(overlays []*decodedDocument, r *reporter) map[string]acceptedValue {
	shared := map[string]acceptedValue{}
	for _, o := range overlays {
		for path, v := range o.values {
			if !v.rule.shared {
				continue
			}
			first, stated := shared[path]
			if !stated {
				shared[path] = v
				continue
			}
			before, after := v.rule.canonicalText(first.node), v.rule.canonicalText(v.node)
			if before != after {
				r.add(v.node.pos, path,
					fmt.Sprintf("%s contradicts %s at %v", after, before, first.node.pos),
					"the same value in every overlay, because it holds for the whole deployment")
			}
		}
	}
	return shared
}

// overlaysBySite returns the overlay of each site. It reports overlays without a site,
// of a site that the base file does not declare, and second ones.
func overlaysBySite(overlays []*decodedDocument, declared []SiteName, r *reporter) map[SiteName]*decodedDocument {
	sites := map[SiteName]*decodedDocument{}
	known := map[SiteName]bool{}
	var names []string
	for _, s := range declared {
		known[s] = true
		names = append(names, string(s))
	}
	for _, o := range overlays {
		v, stated := o.values[keySite]
		if !stated {
			o.reportMissingSite(names, r)
			continue
		}
		site := o.site()
		if first, taken := sites[site]; taken {
			r.add(v.node.pos, keySite, fmt.Sprintf("site %s already has the overlay at %v",
				site, first.values[keySite].node.pos), "one overlay for a site")
			continue
		}
		sites[site] = o
		if len(declared) > 0 && !known[site] {
			r.add(v.node.pos, keySite, "the base file does not declare site "+string(site), oneOf(names))
		}
	}
	return sites
}

// site returns the site of an overlay, empty if it states none.
func (d *decodedDocument) site() SiteName {
	v, stated := d.values[keySite]
	if !stated {
		return ""
	}
	return SiteName(v.node.text)
}

func (d *decodedDocument) reportMissingSite(names []string, r *reporter) {
	if d.malformed || d.rejected[keySite] {
		return
	}
	r.add(d.startPosition(), keySite, "the overlay names no site", oneOf(names))
}

// startPosition is the place of findings on the document as a whole.
func (d *decodedDocument) startPosition() position {
	return position{
		document: d.name,
		line:     1,
		column:   1,
	}
}
