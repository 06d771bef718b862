package anvilconfig

import "fmt"

// layers holds the documents that determine the settings of one site.
type layers struct {
	base *decodedDocument
	// shared holds the values of shared fields from all overlays, by path.
	shared map[string]acceptedValue
	// overlay is the overlay of the site. It may be nil.
	overlay *decodedDocument
}

// find returns the effective value of a field, or nil if no document sets it. A
// value of an overlay takes precedence over the base file.
func (l *layers) find(path string, shared bool) *yamlNode {
	if shared {
		if v, isSet := l.shared[path]; isSet {
			return v.node
		}
	} else if l.overlay != nil {
		if v, isSet := l.overlay.values[path]; isSet {
			return v.node
		}
	}
	if v, isSet := l.base.values[path]; isSet {
		return v.node
	}
	return nil
}

// origin returns the position of the effective value of a field, or "default".
func (l *layers) origin(path string, shared bool) string {
	n := l.find(path, shared)
	if n == nil {
		return "default"
	}
	return n.pos.String()
}

// mergeShared merges the values of shared fields from all overlays. If two
// overlays set different values, it reports the later one.
func mergeShared(overlays []*decodedDocument, r *reporter) map[string]acceptedValue {
	shared := map[string]acceptedValue{}
	for _, o := range overlays {
		for path, v := range o.values {
			if !v.rule.shared {
				continue
			}
			first, isSet := shared[path]
			if !isSet {
				shared[path] = v
				continue
			}
			earlier, later := v.rule.canonicalText(first.node), v.rule.canonicalText(v.node)
			if earlier != later {
				r.add(v.node.pos, path,
					fmt.Sprintf("%s contradicts %s at %v", later, earlier, first.node.pos),
					"the same value in every overlay, because it holds for the whole deployment")
			}
		}
	}
	return shared
}

// overlaysBySite returns the overlay of each site. It reports overlays that name
// no site, an undeclared site, or a site that already has an overlay.
func overlaysBySite(overlays []*decodedDocument, declared []SiteName, r *reporter) map[SiteName]*decodedDocument {
	bySite := map[SiteName]*decodedDocument{}
	isDeclared := map[SiteName]bool{}
	var names []string
	for _, s := range declared {
		isDeclared[s] = true
		names = append(names, string(s))
	}
	for _, o := range overlays {
		v, isSet := o.values[keySite]
		if !isSet {
			o.reportMissingSite(names, r)
			continue
		}
		site := o.site()
		if first, repeated := bySite[site]; repeated {
			r.add(v.node.pos, keySite, fmt.Sprintf("site %s already has the overlay at %v",
				site, first.values[keySite].node.pos), "one overlay for a site")
			continue
		}
		bySite[site] = o
		if len(declared) > 0 && !isDeclared[site] {
			r.add(v.node.pos, keySite, "the base file does not declare site "+string(site), oneOf(names))
		}
	}
	return bySite
}

// site returns the site of an overlay, or "" if the overlay names none.
func (d *decodedDocument) site() SiteName {
	v, isSet := d.values[keySite]
	if !isSet {
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

// startPosition returns the position of findings that concern the whole document.
func (d *decodedDocument) startPosition() position {
	return position{
		document: d.name,
		line:     1,
		column:   1,
	}
}
