package forward

import (
	"sync"

	"pistachiomount.example/pistachiomount/memlimit"
)

const (
	initialBufferBytes = 8 << 10
	// readChunk is the largest single read of a response.
	readChunk = 64 << 10
	// freeBufferBytes is the size up to which a buffer is not part of the budget, so that outcomes of
	// claims and jobs can be stored.
	freeBufferBytes = 64 << 10
	// maxPooledBytes keeps the buffers of rare large responses out of the pool.
	maxPooledBytes = 256 << 10
)

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, 0, initialBufferBytes)
	return &b
}}

// buffer holds the response of exactly one attempt. Only the goroutine that owns the
// attempt uses it, so it can be reused once the attempt is closed.
type buffer struct {
	b      *[]byte
	memory memlimit.Reservation
}

func (f *buffer) open(budget *memlimit.Budget) {
	f.b = bufferPool.Get().(*[]byte)
	f.memory = memlimit.NewReservation(budget)
}

func (f *buffer) bytes() []byte {
	if f.b == nil {
		return nil
	}
	return *f.b
}

// freeSpace returns free space for the next read and grows the buffer up to the limit. It returns none if
// the budget is used up.
func (f *buffer) freeSpace(limit int) []byte {
	b := *f.b
	if len(b) == cap(b) {
		size := min(max(2*cap(b), initialBufferBytes), limit)
		if size > freeBufferBytes && !f.memory.Grow(size) {
			return nil
		}
		grown := make([]byte, len(b), size)
		copy(grown, b)
		*f.b = grown
		b = grown
	}
	return b[len(b):min(cap(b), len(b)+readChunk)]
}

func (f *buffer) advance(n int) { *f.b = (*f.b)[:len(*f.b)+n] }

// clear empties the buffer for the next part of a streamed response.
func (f *buffer) clear() {
	if f.b == nil {
		f.b = bufferPool.Get().(*[]byte)
	}
	*f.b = (*f.b)[:0]
}

func (f *buffer) close() {
	if f.b == nil {
		return
	}
	if cap(*f.b) <= maxPooledBytes {
		*f.b = (*f.b)[:0]
		bufferPool.Put(f.b)
	}
	f.b = nil
	f.memory.Release()
}
