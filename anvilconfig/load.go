package anvilconfig

import (
	"cmp"
	"maps"
	"slices"
)

// MaxDocumentBytes is the maximum size of a document. The configuration service
// stores values of up to 1 MB.
const MaxDocumentBytes = 1 << 20

// Configuration is a valid set of documents and the effective settings of each
// site. It must not be modified.
type Configuration struct {
	layers   map[SiteName]layers
	settings map[SiteName]*Settings
}

// Load parses and validates the base file and all overlays, in any order. If
// there are errors, the configuration is nil and the findings list every error
// in every document.
func Load(base Document, overlays []Document) (*Configuration, Findings) {
	l := &loader{}
	l.decodeDocuments(base, overlays)
	configuration := l.build()
	if len(l.reporter.findings) > 0 {
		return nil, l.reporter.findings.sorted(l.documentOrder())
	}
	return configuration, nil
}

// Sites returns the sites that the base file declares, sorted.
func (c *Configuration) Sites() []SiteName {
	return slices.Sorted(maps.Keys(c.settings))
}

// Settings returns the effective settings of a site, or nil if the base file
// does not declare the site.
func (c *Configuration) Settings(site SiteName) *Settings {
	return c.settings[site]
}

// loader decodes, merges and validates a set of documents.
type loader struct {
	reporter reporter
	base     *decodedDocument
	overlays []*decodedDocument
}

// decodeDocuments decodes the base file and then the overlays in order of name,
// so that the findings do not depend on the order of the arguments.
func (l *loader) decodeDocuments(base Document, overlays []Document) {
	l.base = decode(base, baseSchema, nil, &l.reporter)
	ordered := slices.Clone(overlays)
	slices.SortStableFunc(ordered, func(a, b Document) int {
		return cmp.Compare(a.Name, b.Name)
	})
	seen := map[string]bool{
		base.Name: true,
	}
	for _, document := range ordered {
		overlay := decode(document, overlaySchema, l.base, &l.reporter)
		if seen[document.Name] {
			l.reporter.add(overlay.startPosition(), "", "another document has the same name", "each document with its own name")
		}
		seen[document.Name] = true
		l.overlays = append(l.overlays, overlay)
	}
}

// build merges the documents, builds the settings of each site and validates
// them. It does so for invalid documents too, to report further findings; the
// result is then discarded.
func (l *loader) build() *Configuration {
	var header baseHeader
	if v, isSet := l.base.values[keySites]; isSet {
		baseHeaderFields[0].parse(&header, v.node)
	}
	bySite := overlaysBySite(l.overlays, header.sites, &l.reporter)
	sharedValues := mergeShared(l.overlays, &l.reporter)
	validateFailureDomainStates(l.base, l.overlays, &l.reporter)
	if l.base.malformed {
		return nil
	}
	b := l.newBuilder(sharedValues, nil)
	sharedSettings := b.buildShared()
	(&validator{
		settingsBuilder: b,
		settings:        &sharedSettings,
	}).validateShared()
	return l.buildSites(l.siteOverlays(header.sites, bySite), sharedValues, sharedSettings)
}

func (l *loader) newBuilder(sharedValues map[string]acceptedValue, overlay *decodedDocument) *settingsBuilder {
	return &settingsBuilder{
		layers: layers{
			base:    l.base,
			shared:  sharedValues,
			overlay: overlay,
		},
		reporter:      &l.reporter,
		invalidFields: map[string]bool{},
	}
}

// siteOverlay is a site and its overlay, which may be nil.
type siteOverlay struct {
	site    SiteName
	overlay *decodedDocument
}

// siteOverlays returns an element for each declared site and for each overlay
// without a declared site, so that every overlay is validated. The result has at
// least one element, so that the base file is validated even if it declares no
// site.
func (l *loader) siteOverlays(declared []SiteName, bySite map[SiteName]*decodedDocument) []siteOverlay {
	var result []siteOverlay
	assigned := map[*decodedDocument]bool{}
	for _, site := range declared {
		result = append(result, siteOverlay{
			site:    site,
			overlay: bySite[site],
		})
		assigned[bySite[site]] = true
	}
	for _, o := range l.overlays {
		if !assigned[o] {
			result = append(result, siteOverlay{
				site:    o.site(),
				overlay: o,
			})
		}
	}
	if len(result) == 0 {
		result = append(result, siteOverlay{})
	}
	return result
}

func (l *loader) buildSites(sites []siteOverlay, sharedValues map[string]acceptedValue, sharedSettings Settings) *Configuration {
	configuration := &Configuration{
		layers:   map[SiteName]layers{},
		settings: map[SiteName]*Settings{},
	}
	var validators []validator
	var allSettings []*Settings
	for _, site := range sites {
		b := l.newBuilder(sharedValues, site.overlay)
		s := b.buildSite(site.site, sharedSettings)
		configuration.layers[site.site] = b.layers
		configuration.settings[site.site] = s
		validators = append(validators, validator{
			settingsBuilder: b,
			settings:        s,
		})
		allSettings = append(allSettings, s)
	}
	longestTimeout := applyQuietPeriodDefaults(allSettings)
	for i := range validators {
		validators[i].validateSite(longestTimeout)
	}
	return configuration
}

// documentOrder returns the rank of each document: the base file comes first,
// then the overlays by name.
func (l *loader) documentOrder() map[string]int {
	ranks := map[string]int{}
	for i, o := range l.overlays {
		ranks[o.name] = i + 1
	}
	ranks[l.base.name] = 0
	return ranks
}
