package anvilgateway

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

const (
	// maxReplyHeadBytes bounds the heads of a leaf's reply, interim responses
	// included. Leafs send a few hundred bytes.
	maxReplyHeaderBytes = 16 << 10
	// maxInterimResponses bounds the responses with a status below 200 before the
	// reply. Leafs send none or one.
	maxInterimResponses = 8
	// firstBodyBuffer is the size up to which a body of a stated length is given its
	// memory before it has arrived.
	initialSizedBodyBuffer = 16 << 10
	// unknownBodyBuffer is the same for a body without a stated length.
	initialUnsizedBodyBuffer = 512
)

// boundedConn is a connection from which only so many bytes are read.
type boundedConn struct {
	net.Conn
	// left is the number of bytes that may still be read.
	remaining int64
}

// Read returns TooLarge when no bytes are left.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, TooLarge.New("the reply is longer than accepted")
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	return n, err
}

// bodyMemory bounds the bytes that the bodies of all requests and replies hold.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes bytes; false leaves them.
func (m *memoryBudget) reserve(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// heldBytes counts the bytes that a request holds until it has been answered, and
// those of its calls that end later.
type requestMemory struct {
	budget *memoryBudget

	mu       sync.Mutex
	reserved int64
	released bool
}

// keep hands the bytes of an ended call to the request, or gives them back if the
// request has ended.
func (m *requestMemory) add(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		m.budget.used.Add(-bytes)
		return
	}
	m.reserved += bytes
}

// release gives the bytes of the request back.
func (m *requestMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	m.budget.used.Add(-m.reserved)
	m.reserved = 0
}

// bodyReader reads bodies within bounds.
type bodyReader struct {
	budget *memoryBudget
	// limit bounds one body in bytes.
	limit int64
	// held is the number of bytes taken from the memory, for the caller to give back.
	reserved int64
}

// read reads a whole body whose length is stated, or negative if it is not. It
// returns TooLarge or MemoryExhausted, and an error for a body that ends early.
func (b *bodyReader) read(body io.Reader, length int64) ([]byte, error) {
	if length > b.limit {
		return nil, TooLarge.New("the body has %d bytes, at most %d are accepted", length, b.limit)
	}
	buffer, err := b.grow(nil, length)
	for err == nil {
		if length >= 0 && int64(len(buffer)) == length {
			return buffer, nil
		}
		if int64(len(buffer)) > b.limit {
			return nil, TooLarge.New("the body has over %d bytes", b.limit)
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

// grow returns the buffer with twice its memory, or as much as is still due.
func (b *bodyReader) grow(buffer []byte, length int64) ([]byte, error) {
	size := max(int64(cap(buffer)), initialUnsizedBodyBuffer)
	if length >= 0 {
		size = min(max(int64(cap(buffer)), initialSizedBodyBuffer), length-int64(len(buffer)))
	}
	if !b.budget.reserve(size) {
		return nil, MemoryExhausted.New("the bodies in flight hold %d bytes", b.budget.used.Load())
	}
	b.reserved += size
	return append(make([]byte, 0, int64(len(buffer))+size), buffer...), nil
}
