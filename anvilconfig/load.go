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
	l.read(base, overlays)
	release := l.build()
	if len(l.reporter.findings) > 0 {
		return nil, l.reporter.findings.sorted(l.rank())
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
	base     *decoded
	overlays []*decoded
}

// read decodes the base file and then the overlays in order of name, so that
// the verdict does not depend on the order in which they are handed over.
func (l *loader) read(base Document, overlays []Document) {
	l.base = decode(base, baseShape, nil, &l.reporter)
	ordered := slices.Clone(overlays)
	slices.SortStableFunc(ordered, func(a, b Document) int {
		return cmp.Compare(a.Name, b.Name)
	})
	seen := map[string]bool{
		base.Name: true,
	}
	for _, d := range ordered {
		o := decode(d, overlayShape, l.base, &l.reporter)
		if seen[d.Name] {
			l.reporter.add(o.start(), "", "another document has the same name", "each document with its own name")
		}
		seen[d.Name] = true
		l.overlays = append(l.overlays, o)
	}
}

// build merges, builds and validates. Faulty documents go through as well, for
// the findings; their result is not used.
func (l *loader) build() *Configuration {
	var declared siteList
	if v, stated := l.base.values[keySites]; stated {
		baseFields[0].set(&declared, v.node)
	}
	own := bySite(l.overlays, declared.sites, &l.reporter)
	shared := mergeShared(l.overlays, &l.reporter)
	judgeOutage(l.base, l.overlays, &l.reporter)
	if l.base.broken {
		return nil
	}
	b := l.builder(shared, nil)
	deployment := b.deployment()
	(&judge{
		builder:  b,
		settings: &deployment,
	}).deployment()
	return l.sites(l.candidates(declared.sites, own), shared, deployment)
}

func (l *loader) builder(shared map[string]value, own *decoded) *builder {
	return &builder{
		layers: layers{
			base:   l.base,
			shared: shared,
			own:    own,
		},
		reporter: &l.reporter,
		unusable: map[string]bool{},
	}
}

// candidate is the configuration of one site that is being judged.
type candidate struct {
	site    SiteName
	overlay *decoded
}

// candidates returns one for each declared site, and one for each overlay that
// no declared site takes, so that every overlay is judged. There is always one.
func (l *loader) candidates(names []SiteName, own map[SiteName]*decoded) []candidate {
	var result []candidate
	taken := map[*decoded]bool{}
	for _, name := range names {
		result = append(result, candidate{
			site:    name,
			overlay: own[name],
		})
		taken[own[name]] = true
	}
	for _, o := range l.overlays {
		if !taken[o] {
			result = append(result, candidate{
				site:    o.site(),
				overlay: o,
			})
		}
	}
	if len(result) == 0 {
		result = append(result, candidate{})
	}
	return result
}

func (l *loader) sites(candidates []candidate, shared map[string]value, deployment Settings) *Configuration {
	release := &Configuration{
		layers:   map[SiteName]layers{},
		settings: map[SiteName]*Settings{},
	}
	var judges []judge
	var all []*Settings
	for _, c := range candidates {
		b := l.builder(shared, c.overlay)
		s := b.site(c.site, deployment)
		release.layers[c.site] = b.layers
		release.settings[c.site] = s
		judges = append(judges, judge{
			builder:  b,
			settings: s,
		})
		all = append(all, s)
	}
	longest := completeQuietPeriods(all)
	for i := range judges {
		judges[i].site(longest)
	}
	return release
}

// rank orders the documents: the base file, then the overlays by name.
func (l *loader) rank() map[string]int {
	rank := map[string]int{}
	for i, o := range l.overlays {
		rank[o.name] = i + 1
	}
	rank[l.base.name] = 0
	return rank
}
