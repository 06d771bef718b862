package anvilconfig

// MaxDocumentBytes is the size of the largest accepted document. The
// configuration service holds values up to 1 MB.
const MaxDocumentBytes = 1 << 20

// Release is a set of documents that was found valid.
type Release struct {
	sites []SiteName
}

// Load parses and validates the base file and all overlays. Without findings
// it returns the release; otherwise the release is nil and the findings list
// every fault of every document.
func Load(base Document, overlays []Document) (*Release, Findings) {
	return nil, Findings{{
		Document: base.Name,
		Message:  "not implemented",
	}}
}

// Sites returns the sites that the base file declares, sorted.
func (r *Release) Sites() []SiteName {
	return r.sites
}

// Site returns the effective configuration of a site, or nil when the base
// file does not declare the site.
func (r *Release) Site(name SiteName) *Settings {
	return nil
}

// Render returns the effective configuration of a site in the format of a base
// file, with the origin of each value as a comment.
func (r *Release) Render(site SiteName) ([]byte, error) {
	return nil, nil
}
