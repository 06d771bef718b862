package anvilpeer

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"anvilbridge/anvilmirror"
)

const (
	// minCompressBytes is the size in bytes from which a value is compressed. The entry of
	// a leaf has some 200, a configuration 20,000 to 1,000,000.
	minCompressBytes = 1 << 10
	// maxCachedValues bounds the compressed values that are kept for the next follower.
	maxCachedValues = 4
)

// compressor compresses items for other nodes. Each follower of a node gets the same
// ones, so that the last are kept. It is safe for concurrent use.
type compressor struct {
	encoder func() (*zstd.Encoder, error)

	mu    sync.Mutex
	cache map[string]compressedValue
}

type compressedValue struct {
	revision uint64
	value    []byte
}

func newCompressor() *compressor {
	return &compressor{
		encoder: sync.OnceValues(func() (*zstd.Encoder, error) {
			return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
		}),
		cache: make(map[string]compressedValue, maxCachedValues),
	}
}

// compress returns an item's value as it is sent, and whether it is compressed.
func (c *compressor) compress(i anvilmirror.Item) ([]byte, bool) {
	if len(i.Value) < minCompressBytes {
		return i.Value, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if held, ok := c.cache[i.Key]; ok && held.revision == i.Revision {
		return held.value, true
	}
	encoder, err := c.encoder()
	if err != nil {
		// Only unknown options fail; the value is then sent as it is.
		return i.Value, false
	}
	if len(c.cache) >= maxCachedValues {
		clear(c.cache)
	}
	value := encoder.EncodeAll(i.Value, nil)
	c.cache[i.Key] = compressedValue{
		revision: i.Revision,
		value:    value,
	}
	return value, true
}

// decompressor is safe for concurrent use.
type decompressor struct {
	decoder func() (*zstd.Decoder, error)
}

func newDecompressor() *decompressor {
	return &decompressor{
		decoder: sync.OnceValues(func() (*zstd.Decoder, error) {
			return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxMessageBytes))
		}),
	}
}

// decompress returns an error for more than a message may hold.
func (d *decompressor) decompress(value []byte) ([]byte, error) {
	decoder, err := d.decoder()
	if err != nil {
		return nil, err
	}
	return decoder.DecodeAll(value, nil)
}
