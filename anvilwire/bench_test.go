package anvilwire_test

import (
	"fmt"
	"testing"
	"time"

	"anvilbridge/anvilmodel"
	"anvilbridge/anvilwire"
)

// BenchmarkAppendAnswer encodes an answer with 99 parts, the size that the
// system is designed for.
func BenchmarkAppendAnswer(b *testing.B) {
	a := anvilmodel.Answer{
		RequestID: "r-1",
		Snapshot:  1,
		Coverage: anvilmodel.Coverage{
			Covered: 99,
			Total:   99,
		},
	}
	for i := range 99 {
		a.Parts = append(a.Parts, anvilmodel.Part{
			Shard: anvilmodel.Shard(i),
			Body:  fmt.Appendf(nil, `{"lots":[%d,"rag","linen"],"grade":"fine \"A\""}`, i),
		})
	}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf, _ = anvilwire.AppendAnswer(buf[:0], &a)
	}
}

// BenchmarkCallHeader builds the request headers of one call to a leaf.
func BenchmarkCallHeader(b *testing.B) {
	c := anvilmodel.Call{
		ID: anvilmodel.CallID{
			Request: "r-1",
			Origin:  1785110400000,
			Attempt: 17,
		},
		Snapshot: 12345,
		Shard:    42,
		Timeout:  107 * time.Millisecond,
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = anvilwire.CallHeader(&c)
	}
}
