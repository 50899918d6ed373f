package egress

import (
	"io"
	"net/http"

	"pistachiomount.example/pistachiomount/memlimit"
)

// bufferedBody is the beginning of a response body, or all of it.
type bufferedBody struct {
	data     []byte
	complete bool
	// streamed is set if the rest is read while the beginning is passed on.
	streamed bool
	memory   memlimit.Reservation
}

// readBody reads a body up to one byte more than maxBufferedBody, or less if the budget of the pool is used
// up or the body is streamed. The buffer of the first readBufferSize bytes is not part of the budget.
func (p *Pool) readBody(response *http.Response, stream func() bool) (bufferedBody, error) {
	b := bufferedBody{memory: memlimit.NewReservation(p.buffers)}
	size := readBufferSize
	if length := response.ContentLength; length > 0 && length <= maxBufferedBody && (length < readBufferSize || b.memory.Grow(int(length))) {
		size = int(length) + 1 // the read that finds the end needs space
	}
	b.data = make([]byte, 0, size)
	for {
		n, err := response.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case err == io.EOF:
			b.complete = true
			return b, nil
		case err != nil:
			return b, readError(err)
		case len(b.data) > streamThreshold && stream():
			b.streamed = true
			return b, nil
		case len(b.data) > maxBufferedBody, len(b.data) == cap(b.data) && !b.grow():
			return b, nil
		}
	}
}

// grow enlarges the buffer. It reports whether there is space for more.
func (b *bufferedBody) grow() bool {
	size := cap(b.data) * bodyBufferGrowth
	if size >= maxBufferedBody {
		size = maxBufferedBody + 1
	}
	if !b.memory.Grow(size) {
		return false
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}
