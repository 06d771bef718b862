package anvilconfig

// BaseFileName is the name of the base file among the published documents.
const BaseFileName = "base.yaml"

// LoadPublished loads a set of documents that the configuration service has
// published. The document named BaseFileName is the base file, and all others are
// overlays.
func LoadPublished(documents []Document) (*Configuration, Findings) {
	var base *Document
	var overlays []Document
	for i, d := range documents {
		if d.Name == BaseFileName && base == nil {
			base = &documents[i]
			continue
		}
		overlays = append(overlays, d)
	}
	if base == nil {
		return nil, Findings{{
			Document: BaseFileName,
			Line:     1,
			Column:   1,
			Message:  "the base file is not among the documents",
			Accepted: "a document named " + BaseFileName,
		}}
	}
	return Load(*base, overlays)
}
