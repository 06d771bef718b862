package anvilpeer

import (
	"sync"

	"github.com/klauspost/compress/zstd"

	"anvilbridge/anvilmirror"
)

const (
	// minCompressBytes is the size from which a value is compressed. The entry of a leaf
	// has about 200 bytes, a configuration 20,000 to 1,000,000.
	minCompressBytes = 1 << 10
	// maxCachedValues bounds the cache of compressed values.
	maxCachedValues = 4
)

// compressor compresses items for other nodes. All followers of a node request the
// same items, so the most recent results are cached. It is safe for concurrent use.
type compressor struct {
	encoder func() (*zstd.Encoder, error)

	mu    sync.Mutex
	cache map[string]compressedValue
}

type compressedValue struct {
	version anvilmirror.Version
	value   []byte
}

func newCompressor() *compressor {
	return &compressor{
		encoder: sync.OnceValues(func() (*zstd.Encoder, error) {
			return zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
		}),
		cache: make(map[string]compressedValue, maxCachedValues),
	}
}

// compress returns the value of an item of the era as it is sent, and whether it is compressed.
func (c *compressor) compress(item anvilmirror.Item, era uint64) ([]byte, bool) {
	if len(item.Value) < minCompressBytes {
		return item.Value, false
	}
	version := anvilmirror.Version{
		Era:      era,
		Revision: item.Revision,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, ok := c.cache[item.Key]; ok && cached.version == version {
		return cached.value, true
	}
	encoder, err := c.encoder()
	if err != nil {
		// Only invalid options cause an error; the value is then sent uncompressed.
		return item.Value, false
	}
	if len(c.cache) >= maxCachedValues {
		clear(c.cache)
	}
	value := encoder.EncodeAll(item.Value, nil)
	c.cache[item.Key] = compressedValue{
		version: version,
		value:   value,
	}
	return value, true
}

// decompressor decompresses values from other nodes. It is safe for concurrent use.
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

// decompress returns an error if the result is larger than maxMessageBytes.
func (d *decompressor) decompress(value []byte) ([]byte, error) {
	decoder, err := d.decoder()
	if err != nil {
		return nil, err
	}
	return decoder.DecodeAll(value, nil)
}
