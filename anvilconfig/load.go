package anvilconfig

import (
	"cmp"
	"maps"
	"slices"
)

// MaxDocumentBytes is the size of the largest accepted document. The
// configuration service holds values up to 1 MB.
const MaxDocumentBytes = 1 << 20

// Configuration is a set of documents that was found valid, and the effective
// configuration of each site. It is read only.
type Configuration struct {
	layers   map[SiteName]layers
	settings map[SiteName]*Settings
}

// Load parses and validates the base file and all overlays, in any order.
// Without findings it returns the release; otherwise the release is nil and
// the findings list every fault of every document.
func Load(base Document, overlays []Document) (*Configuration, Findings) {
	l := &loader{}
	l.decodeDocuments(base, overlays)
	release := l.build()
	if len(l.reporter.findings) > 0 {
		return nil, l.reporter.findings.sorted(l.documentOrder())
	}
	return release, nil
}

// Sites returns the sites that the base file declares, sorted.
func (c *Configuration) Sites() []SiteName {
	return slices.Sorted(maps.Keys(c.settings))
}

// Settings returns the effective configuration of a site, or nil when the base
// file does not declare the site.
func (c *Configuration) Settings(name SiteName) *Settings {
	return c.settings[name]
}

// loader takes a set of documents through all steps.
type loader struct {
	reporter reporter
	base     *decodedDocument
	overlays []*decodedDocument
}

// decodeDocuments decodes the base file and then the overlays in order of name, so that
// the verdict does not depend on the order in which they are handed over.
func (l *loader) decodeDocuments(base Document, overlays []Document) {
	l.base = decode(base, baseSchema, nil, &l.reporter)
	ordered := slices.Clone(overlays)
	slices.SortStableFunc(ordered, func(a, b Document) int {
		return cmp.Compare(a.Name, b.Name)
	})
	seen := map[string]bool{
		base.Name: true,
	}
	for _, d := range ordered {
		o := decode(d, overlaySchema, l.base, &l.reporter)
		if seen[d.Name] {
			l.reporter.add(o.startPosition(), "", "another document has the same name", "each document with its own name")
		}
		seen[d.Name] = true
		l.overlays = append(l.overlays, o)
	}
}

// build merges, builds and validates. Faulty documents go through as well, for
// the findings; their result is not used.
func (l *loader) build() *Configuration {
	var declared baseHeader
	if v, stated := l.base.values[keySites]; stated {
		baseHeaderFields[0].set(&declared, v.node)
	}
	own := overlaysBySite(l.overlays, declared.sites, &l.reporter)
	shared := mergeShared(l.overlays, &l.reporter)
	validateFailureDomainStates(l.base, l.overlays, &l.reporter)
	if l.base.malformed {
		return nil
	}
	b := l.newBuilder(shared, nil)
	deployment := b.buildShared()
	(&validator{
		settingsBuilder: b,
		settings:        &deployment,
	}).validateShared()
	return l.buildSites(l.siteOverlays(declared.sites, own), shared, deployment)
}

func (l *loader) newBuilder(shared map[string]acceptedValue, own *decodedDocument) *settingsBuilder {
	return &settingsBuilder{
		layers: layers{
			base:    l.base,
			shared:  shared,
			overlay: own,
		},
		reporter:      &l.reporter,
		invalidFields: map[string]bool{},
	}
}

// siteOverlay is the configuration of one site that is being judged.
type siteOverlay struct {
	site    SiteName
	overlay *decodedDocument
}

// siteOverlays returns one for each declared site, and one for each overlay that
// no declared site takes, so that every overlay is judged. There is always one.
func (l *loader) siteOverlays(names []SiteName, own map[SiteName]*decodedDocument) []siteOverlay {
	var result []siteOverlay
	taken := map[*decodedDocument]bool{}
	for _, name := range names {
		result = append(result, siteOverlay{
			site:    name,
			overlay: own[name],
		})
		taken[own[name]] = true
	}
	for _, o := range l.overlays {
		if !taken[o] {
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

func (l *loader) buildSites(candidates []siteOverlay, shared map[string]acceptedValue, deployment Settings) *Configuration {
	release := &Configuration{
		layers:   map[SiteName]layers{},
		settings: map[SiteName]*Settings{},
	}
	var judges []validator
	var all []*Settings
	for _, c := range candidates {
		b := l.newBuilder(shared, c.overlay)
		s := b.buildSite(c.site, deployment)
		release.layers[c.site] = b.layers
		release.settings[c.site] = s
		judges = append(judges, validator{
			settingsBuilder: b,
			settings:        s,
		})
		all = append(all, s)
	}
	longest := applyQuietPeriodDefaults(all)
	for i := range judges {
		judges[i].validateSite(longest)
	}
	return release
}

// documentOrder orders the documents: the base file, then the overlays by name.
func (l *loader) documentOrder() map[string]int {
	rank := map[string]int{}
	for i, o := range l.overlays {
		rank[o.name] = i + 1
	}
	rank[l.base.name] = 0
	return rank
}
