package anvilrevision_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"anvilbridge/anvilconfig"
	"anvilbridge/anvilrevision"
)

// Guards against a fetch that activates corrupt content or takes too long because a
// peer is faulty or slow, or switches to another revision during the fetch.
func TestFetchWithAFaultyPeer(t *testing.T) {
	for _, fault := range []string{"corrupt chunks", "first replies corrupt", "old manifest", "short manifest", "switches revision", "slow", "no reply"} {
		f := newServingFleet(t, 21, 0)
		replies := 0
		f.tamperReply = func(w *vm, m *anvilrevision.Manifest, chunks [][]byte) time.Duration {
			replies++
			switch {
			case w != f.vms[0]:
			case fault == "slow":
				return 900 * time.Millisecond
			case fault == "no reply":
				return time.Hour
			case fault == "corrupt chunks", fault == "first replies corrupt" && replies <= 4:
				for i := range chunks {
					chunks[i] = append([]byte("x"), chunks[i]...)
				}
			case m == nil:
			case fault == "old manifest":
				*m = f.vms[3].Manifest(0)
			case fault == "short manifest":
				m.Documents = slices.Clone(m.Documents)
				m.Documents[0].Chunks = m.Documents[0].Chunks[1:]
			case fault == "switches revision" && f.version == 2:
				f.version, f.documents = 3, largeDocument(2)
				runTasks(w.Manager, w.HandleDocuments(3, f.documents, f.now, f.now), f.now)
			}
			return 0
		}
		f.version, f.documents = 2, largeDocument(1)
		f.deliverDocuments(f.vms[0])
		if !slices.Contains([]string{"first replies corrupt", "switches revision", "slow"}, fault) {
			f.deliverDocuments(f.vms[1]) // a peer without a fault
		}
		f.advance(convergenceLimit)
		f.awaitVersion(f.version)
		want := anvilconfig.Digest(f.documents)
		if replies == 0 || slices.ContainsFunc(f.vms, func(v *vm) bool { return v.Active().Digest != want }) {
			t.Errorf("%s: unexpected active content, %d replies", fault, replies)
		}
	}
}

// Guards against a manifest that makes a node store unbounded data, and against
// frequent requests to a peer that offers an invalid revision.
func TestUnacceptableManifests(t *testing.T) {
	chunk := strings.Repeat("x", 16<<10)
	document := func(name string, chunks int) anvilconfig.Document {
		return anvilconfig.Document{Name: name, Content: []byte(strings.Repeat(chunk, chunks))}
	}
	many := []anvilconfig.Document{}
	for i := range anvilrevision.MaxDocuments + 1 {
		many = append(many, document(fmt.Sprintf("d%02d", i), 1))
	}
	for name, documents := range map[string][]anvilconfig.Document{
		"too many documents":         many,
		"not sorted by name":         {document("b", 1), document("a", 1)},
		"no name":                    {document("", 1)},
		"long name":                  {document(strings.Repeat("n", 256), 1)},
		"too many chunks":            {document("a", 1026)},
		"one chunk repeated to 2 MB": {document("a", 128)},
	} {
		f := newServingFleet(t, 22, 0)
		f.publish(2, chunk)
		f.deliverDocuments(f.vms[0])
		f.tamperReply = func(_ *vm, m *anvilrevision.Manifest, _ [][]byte) time.Duration {
			if m != nil {
				m.Documents, m.Revision.Digest = nil, anvilconfig.Digest(documents)
				for _, d := range documents {
					hashes := slices.Repeat([]anvilrevision.ChunkHash{anvilrevision.HashChunk([]byte(chunk))}, len(d.Content)/len(chunk))
					m.Documents = append(m.Documents, anvilrevision.DocumentManifest{Name: d.Name, Chunks: hashes})
				}
			}
			return 0
		}
		f.advance(time.Minute)
		requests := f.vms[1].actionCounts[anvilrevision.ActionFetchManifest]
		if got := f.vms[1].Active().Version; got != 1 || requests == 0 || requests > 20 {
			t.Errorf("%s: version %d active, %d manifest requests in a minute", name, got, requests)
		}
	}
}

// Guards against content that becomes active under a digest that does not match it,
// so that two nodes have different content for the same revision.
func TestManifestWithAFalseDigest(t *testing.T) {
	f := newServingFleet(t, 23, 0)
	f.publish(2, "changed")
	f.deliverDocuments(f.vms[0])
	f.tamperReply = func(_ *vm, m *anvilrevision.Manifest, _ [][]byte) time.Duration {
		if m != nil {
			m.Revision.Digest[0] ^= 1
		}
		return 0
	}
	f.advance(time.Minute)
	if got := f.vms[1].Active().Version; got != 1 {
		t.Errorf("version %d active, want 1", got)
	}
}

// Guards against a fetch that stores more than the maximum size of a revision. The peer
// offers two documents of 10 MB in chunks of 16 KB; each request is for 2 MB, so the
// fetch must end after 18 MB.
func TestFetchIsBounded(t *testing.T) {
	f := newServingFleet(t, 23, 0)
	f.version, f.documents = 2, nil
	for _, name := range []string{"a", "b"} {
		d := anvilconfig.Document{Name: name}
		for i := range 640 {
			d.Content = append(d.Content, fmt.Appendf(nil, "%s%0*d", name, 16<<10-1, i)...)
		}
		f.documents = append(f.documents, d)
	}
	f.deliverDocuments(f.vms[0])
	f.advance(time.Minute)
	events := f.vms[1].actionCounts
	if manifests, chunks := events[anvilrevision.ActionFetchManifest], events[anvilrevision.ActionFetchChunks]; manifests == 0 || chunks > 9*manifests {
		t.Errorf("%d manifest requests, %d chunk requests", manifests, chunks)
	}
}

// Guards against chunks that are too large or too many.
func TestSplit(t *testing.T) {
	contents := []string{"", strings.Repeat("x", 100_000)}
	for i := range 200 { // some of these lines are chunk boundaries
		contents = append(contents, strings.Repeat(fmt.Sprintln("connections:", i), 2000))
	}
	for _, content := range contents {
		chunks := anvilrevision.Split([]byte(content))
		last := max(len(chunks)-1, 0)
		if slices.ContainsFunc(chunks, func(c []byte) bool { return len(c) > 16<<10 }) ||
			slices.ContainsFunc(chunks[:last], func(c []byte) bool { return len(c) < 1<<10 }) {
			t.Fatalf("%.20q: chunk size out of range", content)
		}
	}
}
