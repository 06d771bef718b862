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
	for _, fault := range []string{"damages chunks", "damages two chunks", "old manifest", "wrong digest", "moves on", "slow", "silent"} {
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
			case fault == "wrong digest":
				m.Revision.Digest[0]++
			case fault == "moves on" && f.version == 2:
				f.publish(3, strings.Repeat("three\n", 1000))
				run(w.Keeper, w.Offer(3, f.documents, f.now, f.now), f.now)
			}
			return 0
		}
		f.publish(2, strings.Repeat("two\n", 1000))
		f.offer(f.vms[0])
		if !slices.Contains([]string{"damages two chunks", "moves on", "slow"}, fault) {
			f.offer(f.vms[1]) // one that is not faulty
		}
		f.run(bound)
		f.settles(f.version)
		if got := f.vms[3].InForce().Digest; got != anvilconfig.Digest(f.documents) || answers == 0 {
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
					hashes := slices.Repeat([]anvilrevision.Hash{anvilrevision.HashOf([]byte(chunk))}, len(d.Content)/len(chunk))
					m.Documents = append(m.Documents, anvilrevision.DocumentManifest{Name: d.Name, Chunks: hashes})
				}
			}
			return 0
		}
		f.run(time.Minute)
		asked := f.vms[1].events[anvilrevision.ActionFetchManifest]
		if got := f.vms[1].InForce().Version; got != 1 || asked == 0 || asked > 20 {
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
	if got := f.vms[1].InForce().Version; got != 1 {
		t.Errorf("version %d in force, want 1", got)
	}
}

// Guards against chunks that are too large or too many.
func TestSplit(t *testing.T) {
	for _, content := range []string{
		"", strings.Repeat("x", 100_000), strings.Repeat("    connections: 30\n", 50_000), strings.Repeat("\n", 1<<20),
	} {
		chunks := anvilrevision.Split([]byte(content))
		for i, c := range chunks {
			if len(c) > 16<<10 || (len(c) < 1<<10 && i < len(chunks)-1) {
				t.Errorf("%.20q: chunk %d of %d has %d bytes", content, i, len(chunks), len(c))
			}
		}
	}
}
