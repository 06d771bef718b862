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

// Guards against a transfer that ends in damaged content or takes too long when
// a peer is faulty, moves to another revision halfway, or is slow.
func TestFetchWithAFaultyPeer(t *testing.T) {
	for _, fault := range []string{"damages chunks", "damages two chunks", "old manifest", "short manifest", "moves on", "slow", "silent"} {
		f := running(t, 21, 0)
		answers := 0
		f.tamper = func(w *vm, m *anvilrevision.Manifest, chunks [][]byte) time.Duration {
			answers++
			switch {
			case w != f.vms[0]:
			case fault == "slow":
				return 900 * time.Millisecond
			case fault == "silent":
				return time.Hour
			case fault == "damages chunks", fault == "damages two chunks" && answers <= 4:
				for i := range chunks {
					chunks[i] = append([]byte("x"), chunks[i]...)
				}
			case m == nil:
			case fault == "old manifest":
				*m = f.vms[3].Manifest(0)
			case fault == "short manifest":
				m.Documents = slices.Clone(m.Documents)
				m.Documents[0].Chunks = m.Documents[0].Chunks[1:]
			case fault == "moves on" && f.version == 2:
				f.version, f.documents = 3, designBase(2)
				run(w.Manager, w.HandleDocuments(3, f.documents, f.now, f.now), f.now)
			}
			return 0
		}
		f.version, f.documents = 2, designBase(1)
		f.offer(f.vms[0])
		if !slices.Contains([]string{"damages two chunks", "moves on", "slow"}, fault) {
			f.offer(f.vms[1]) // one that is not faulty
		}
		f.run(bound)
		f.settles(f.version)
		want := anvilconfig.Digest(f.documents)
		if answers == 0 || slices.ContainsFunc(f.vms, func(v *vm) bool { return v.Active().Digest != want }) {
			t.Errorf("%s: other content in force, %d answers", fault, answers)
		}
	}
}

// Guards against a manifest that makes a node hold unbounded data, and against
// a peer with a false offer that is asked all the time.
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
		"out of order":               {document("b", 1), document("a", 1)},
		"no name":                    {document("", 1)},
		"long name":                  {document(strings.Repeat("n", 256), 1)},
		"too many chunks":            {document("a", 1026)},
		"one chunk repeated to 2 MB": {document("a", 128)},
	} {
		f := running(t, 22, 0)
		f.publish(2, chunk)
		f.offer(f.vms[0])
		f.tamper = func(_ *vm, m *anvilrevision.Manifest, _ [][]byte) time.Duration {
			if m != nil {
				m.Documents, m.Revision.Digest = nil, anvilconfig.Digest(documents)
				for _, d := range documents {
					hashes := slices.Repeat([]anvilrevision.ChunkHash{anvilrevision.HashChunk([]byte(chunk))}, len(d.Content)/len(chunk))
					m.Documents = append(m.Documents, anvilrevision.DocumentManifest{Name: d.Name, Chunks: hashes})
				}
			}
			return 0
		}
		f.run(time.Minute)
		asked := f.vms[1].events[anvilrevision.ActionFetchManifest]
		if got := f.vms[1].Active().Version; got != 1 || asked == 0 || asked > 20 {
			t.Errorf("%s: version %d in force, asked %d times in a minute", name, got, asked)
		}
	}
}

// Guards against content that is put into force under a digest that is not its
// own: two nodes would then hold different content of one revision.
func TestManifestWithAFalseDigest(t *testing.T) {
	f := running(t, 23, 0)
	f.publish(2, "changed")
	f.offer(f.vms[0])
	f.tamper = func(_ *vm, m *anvilrevision.Manifest, _ [][]byte) time.Duration {
		if m != nil {
			m.Revision.Digest[0] ^= 1
		}
		return 0
	}
	f.run(time.Minute)
	if got := f.vms[1].Active().Version; got != 1 {
		t.Errorf("version %d in force, want 1", got)
	}
}

// Guards against a transfer that holds more than the documents can be: two of
// 10 MB in chunks of 16 KB, of which 2 MB are asked for at a time and 18 in all.
func TestFetchIsBounded(t *testing.T) {
	f := running(t, 23, 0)
	f.version, f.documents = 2, nil
	for _, name := range []string{"a", "b"} {
		d := anvilconfig.Document{Name: name}
		for i := range 640 {
			d.Content = append(d.Content, fmt.Appendf(nil, "%s%0*d", name, 16<<10-1, i)...)
		}
		f.documents = append(f.documents, d)
	}
	f.offer(f.vms[0])
	f.run(time.Minute)
	events := f.vms[1].events
	if manifests, chunks := events[anvilrevision.ActionFetchManifest], events[anvilrevision.ActionFetchChunks]; manifests == 0 || chunks > 9*manifests {
		t.Errorf("asked %d times for a manifest, %d times for chunks", manifests, chunks)
	}
}

// Guards against chunks that are too large or too many.
func TestSplit(t *testing.T) {
	contents := []string{"", strings.Repeat("x", 100_000)}
	for i := range 200 { // some of these lines end chunks
		contents = append(contents, strings.Repeat(fmt.Sprintln("connections:", i), 2000))
	}
	for _, content := range contents {
		chunks := anvilrevision.Split([]byte(content))
		last := max(len(chunks)-1, 0)
		if slices.ContainsFunc(chunks, func(c []byte) bool { return len(c) > 16<<10 }) ||
			slices.ContainsFunc(chunks[:last], func(c []byte) bool { return len(c) < 1<<10 }) {
			t.Fatalf("%.20q: chunks of a wrong size", content)
		}
	}
}
