package anvilrevision

import (
	"cmp"
	"slices"

	"anvilbridge/anvilconfig"
)

// Task is the work on a revision that takes long: assembling, hashing and
// judging up to 1 MB takes a quarter of a second. Run reads nothing that the
// keeper changes, so the node calls it without the keeper's lock.
type Task struct {
	source   Source
	version  uint64
	validate func([]anvilconfig.Document) Validation

	// documents came from the service.
	documents []anvilconfig.Document
	// manifest and chunks came from a peer.
	manifest Manifest
	chunks   []map[ChunkHash][]byte

	// knownRevisions are revisions that need no judgement again.
	knownRevisions []Revision
	// activeVersion is a version that is in force: other content of it is not judged.
	activeVersion uint64
}

// TaskResult is the outcome of a Task, for Manager.HandleTaskResult.
type TaskResult struct {
	task       *Task
	revision   Revision
	content    *revisionContent
	validation Validation
	// validated is false when the revision was known.
	validated bool
	// corrupt says that a peer's chunks do not make up what it announced.
	corrupt bool
}

// Run does the work. It must be called once.
func (t *Task) Run() TaskResult {
	result := TaskResult{
		task: t,
	}
	documents, ok := t.assembleDocuments()
	if !ok {
		result.corrupt = true
		return result
	}
	result.revision = Revision{
		Version: t.version,
		Digest:  anvilconfig.Digest(documents),
	}
	if t.source.Peer != "" && result.revision != t.manifest.Revision {
		result.corrupt = true
		return result
	}
	if t.version == t.activeVersion || slices.Contains(t.knownRevisions, result.revision) {
		return result
	}
	result.content = newRevisionContent(result.revision, documents)
	result.validation = t.validate(documents)
	result.validated = true
	return result
}

// assembleDocuments returns the documents in order of name.
func (t *Task) assembleDocuments() ([]anvilconfig.Document, bool) {
	if t.source.Peer == "" {
		documents := slices.Clone(t.documents)
		slices.SortStableFunc(documents, compareNames)
		return documents, true
	}
	documents := make([]anvilconfig.Document, 0, len(t.manifest.Documents))
	for _, d := range t.manifest.Documents {
		assembled, ok := t.assembleDocument(d)
		if !ok {
			return nil, false
		}
		documents = append(documents, assembled)
	}
	return documents, true
}

// assembleDocument fails when a document is larger than accepted: a manifest may name
// one chunk many times.
func (t *Task) assembleDocument(d DocumentManifest) (anvilconfig.Document, bool) {
	document := anvilconfig.Document{
		Name: d.Name,
	}
	for _, hash := range d.Chunks {
		chunk := findChunk(hash, t.chunks)
		if chunk == nil || len(document.Content)+len(chunk) > anvilconfig.MaxDocumentBytes {
			return document, false
		}
		document.Content = append(document.Content, chunk...)
	}
	return document, true
}

// findChunk returns a chunk from the first map that holds it, or nil.
func findChunk(hash ChunkHash, maps []map[ChunkHash][]byte) []byte {
	for _, m := range maps {
		if chunk := m[hash]; chunk != nil {
			return chunk
		}
	}
	return nil
}

func compareNames(d, e anvilconfig.Document) int {
	return cmp.Compare(d.Name, e.Name)
}
