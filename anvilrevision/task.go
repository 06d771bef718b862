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
	source  Source
	version uint64
	judge   func([]anvilconfig.Document) Validation

	// documents came from the service.
	documents []anvilconfig.Document
	// manifest and chunks came from a peer.
	manifest Manifest
	chunks   []map[ChunkHash][]byte

	// known are revisions that need no judgement again.
	known []Revision
	// settled is a version that is in force: other content of it is not judged.
	settled uint64
}

// TaskResult is the outcome of a Task, for Manager.HandleTaskResult.
type TaskResult struct {
	task      *Task
	revision  Revision
	content   *content
	judgement Validation
	// judged is false when the revision was known.
	judged bool
	// damaged says that a peer's chunks do not make up what it announced.
	damaged bool
}

// Run does the work. It must be called once.
func (t *Task) Run() TaskResult {
	result := TaskResult{
		task: t,
	}
	documents, ok := t.collect()
	if !ok {
		result.damaged = true
		return result
	}
	result.revision = Revision{
		Version: t.version,
		Digest:  anvilconfig.Digest(documents),
	}
	if t.source.Peer != "" && result.revision != t.manifest.Revision {
		result.damaged = true
		return result
	}
	if t.version == t.settled || slices.Contains(t.known, result.revision) {
		return result
	}
	result.content = newContent(result.revision, documents)
	result.judgement = t.judge(documents)
	result.judged = true
	return result
}

// collect returns the documents in order of name.
func (t *Task) collect() ([]anvilconfig.Document, bool) {
	if t.source.Peer == "" {
		documents := slices.Clone(t.documents)
		slices.SortStableFunc(documents, compareName)
		return documents, true
	}
	documents := make([]anvilconfig.Document, 0, len(t.manifest.Documents))
	for _, d := range t.manifest.Documents {
		assembled, ok := t.assemble(d)
		if !ok {
			return nil, false
		}
		documents = append(documents, assembled)
	}
	return documents, true
}

// assemble fails when a document is larger than accepted: a manifest may name
// one chunk many times.
func (t *Task) assemble(d DocumentManifest) (anvilconfig.Document, bool) {
	document := anvilconfig.Document{
		Name: d.Name,
	}
	for _, hash := range d.Chunks {
		chunk := find(hash, t.chunks)
		if chunk == nil || len(document.Content)+len(chunk) > anvilconfig.MaxDocumentBytes {
			return document, false
		}
		document.Content = append(document.Content, chunk...)
	}
	return document, true
}

// find returns a chunk from the first map that holds it, or nil.
func find(hash ChunkHash, maps []map[ChunkHash][]byte) []byte {
	for _, m := range maps {
		if chunk := m[hash]; chunk != nil {
			return chunk
		}
	}
	return nil
}

func compareName(d, e anvilconfig.Document) int {
	return cmp.Compare(d.Name, e.Name)
}
