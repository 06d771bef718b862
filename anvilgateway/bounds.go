package anvilgateway

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

const (
	// maxReplyHeaderBytes bounds the status lines and headers of a leaf's reply, interim
	// responses included. Leaves send a few hundred bytes.
	maxReplyHeaderBytes = 16 << 10
	// maxInterimResponses bounds the responses with a status below 200 before the final
	// one. Leaves send none or one.
	maxInterimResponses = 8
	// initialSizedBodyBuffer is the largest initial buffer for a body of known length. A
	// longer body gets more memory only as its bytes arrive.
	initialSizedBodyBuffer = 16 << 10
	// initialUnsizedBodyBuffer is the initial buffer for a body of unknown length.
	initialUnsizedBodyBuffer = 512
)

// boundedConn is a connection from which a limited number of bytes can be read.
type boundedConn struct {
	net.Conn
	// remaining is the number of bytes that may still be read.
	remaining int64
}

// Read returns TooLarge when no bytes remain.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, TooLarge.New("reply exceeds the size limit")
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// memoryBudget bounds the memory held by the bodies of all requests and replies.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves bytes of the budget. It returns false and reserves nothing if they do
// not fit.
func (m *memoryBudget) reserve(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// requestMemory counts the bytes of the memory budget that a request holds until it has
// been answered. Calls that end after that return their bytes at once.
type requestMemory struct {
	budget *memoryBudget

	mu       sync.Mutex
	reserved int64
	released bool
}

// add transfers the bytes of a completed call to the request, or returns them to the
// budget if the request has already been released.
func (m *requestMemory) add(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		m.budget.used.Add(-bytes)
		return
	}
	m.reserved += bytes
}

// release returns the bytes of the request to the budget.
func (m *requestMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	m.budget.used.Add(-m.reserved)
	m.reserved = 0
}

// bodyReader reads bodies within a size limit and a memory budget.
type bodyReader struct {
	budget *memoryBudget
	// limit is the maximum size of one body in bytes.
	limit int64
	// reserved is the number of bytes reserved from the budget. The caller returns them.
	reserved int64
}

// read reads a whole body. A negative length means that the length is unknown. It returns
// TooLarge or MemoryExhausted, or an error if the body ends early.
func (b *bodyReader) read(body io.Reader, length int64) ([]byte, error) {
	if length > b.limit {
		return nil, TooLarge.New("body of %d bytes exceeds the limit of %d bytes", length, b.limit)
	}
	buffer, err := b.grow(nil, length)
	for err == nil {
		if length >= 0 && int64(len(buffer)) == length {
			return buffer, nil
		}
		if int64(len(buffer)) > b.limit {
			return nil, TooLarge.New("body exceeds the limit of %d bytes", b.limit)
		}
		if len(buffer) == cap(buffer) {
			if buffer, err = b.grow(buffer, length); err != nil {
				break
			}
		}
		var n int
		n, err = body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) && (length < 0 || int64(len(buffer)) == length) {
			return buffer, nil
		}
	}
	return nil, err
}

// grow returns the buffer with its capacity doubled, but not beyond the known length. A
// first buffer has its initial size.
func (b *bodyReader) grow(buffer []byte, length int64) ([]byte, error) {
	size := max(int64(cap(buffer)), initialUnsizedBodyBuffer)
	if length >= 0 {
		size = min(max(int64(cap(buffer)), initialSizedBodyBuffer), length-int64(len(buffer)))
	}
	if !b.budget.reserve(size) {
		return nil, MemoryExhausted.New("memory budget exhausted: bodies in flight hold %d bytes", b.budget.used.Load())
	}
	b.reserved += size
	return append(make([]byte, 0, int64(len(buffer))+size), buffer...), nil
}
