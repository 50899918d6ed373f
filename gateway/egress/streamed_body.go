package egress

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// streamedBody passes on a response body while it arrives. A goroutine reads ahead as far as the memory budget
// allows, so that a caller that reads slowly holds neither the slot nor the connection of the upstream.
type streamedBody struct {
	pool     *Pool
	key      poolKey
	conn     *upstreamConn
	response *http.Response
	// reusable is unset if the connection must be closed after the response.
	reusable bool
	// stopWatch ends the watch that closes the connection with the context.
	stopWatch func() bool

	mu      sync.Mutex
	changed *sync.Cond
	// buffer holds what was read, of which the first taken bytes were passed on.
	buffer bufferedBody
	taken  int
	early  int64
	total  int64
	// connDone is set once the connection is closed or belongs to the pool again.
	connDone bool
	stalled  bool
	closed   bool
	onEnd    func(StreamEnd)
	end      *StreamEnd
	// err is io.EOF after a complete body; nil while more may arrive.
	err error
}

func newStreamedBody(p *Pool, call *Call, c *upstreamConn, response *http.Response, beginning bufferedBody) *streamedBody {
	b := &streamedBody{
		pool: p, key: poolKey{call.Upstream, call.Address}, conn: c, response: response, buffer: beginning,
		total: int64(len(beginning.data)), reusable: !response.Close && !hasConnectionClose(response.Header),
	}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// run reads the body until it ends, fails or is closed.
func (b *streamedBody) run() {
	for {
		space := b.awaitSpace()
		if space == nil {
			b.finish(net.ErrClosed)
			return
		}
		n, err := b.response.Body.Read(space)
		b.add(n)
		if err != nil {
			b.finish(err)
			return
		}
	}
}

// awaitSpace returns the unused part of the buffer, nil once the body is closed. A full buffer is compacted only once
// half of it was taken: compacting after each small read would move up to 1 MB for 8 kB.
func (b *streamedBody) awaitSpace() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		data := b.buffer.data
		switch {
		case len(data) < cap(data):
			return data[len(data):cap(data)]
		case b.taken >= cap(data)/2:
			b.compact()
		case cap(data) <= maxBufferedBody && b.buffer.grow():
		default:
			b.stalled = true
			b.changed.Wait()
		}
	}
	return nil
}

// compact drops the bytes that were passed on.
func (b *streamedBody) compact() {
	n := copy(b.buffer.data, b.buffer.data[b.taken:])
	b.buffer.data, b.taken = b.buffer.data[:n], 0
}

func (b *streamedBody) add(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffer.data = b.buffer.data[:len(b.buffer.data)+n]
	b.total += int64(n)
	b.changed.Broadcast()
}

// finish gives up the connection, reports the end, and only then lets the reader see it.
func (b *streamedBody) finish(err error) {
	wanted := b.releaseConn(err)
	b.mu.Lock()
	end := b.describeEnd(err, wanted && !b.closed)
	b.end = &end
	report := b.onEnd
	b.mu.Unlock()
	if report != nil {
		report(end)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	if b.closed {
		b.buffer.memory.Release()
	}
	b.changed.Broadcast()
}

// releaseConn returns the connection to the pool after a complete body, and closes it otherwise. Bytes after
// the body would be read as the next response. It reports whether the context of the request goes on.
func (b *streamedBody) releaseConn(err error) bool {
	open := b.stopWatch()
	b.mu.Lock()
	keep := open && err == io.EOF && b.reusable && !b.closed && b.conn.br.Buffered() == 0
	b.connDone = true
	b.mu.Unlock()
	if keep {
		b.conn.keepUntil(time.Now(), b.response.Header)
		b.pool.put(b.key, b.conn)
		return open
	}
	_ = b.conn.nc.Close()
	return open
}

func (b *streamedBody) describeEnd(err error, wanted bool) StreamEnd {
	complete, timedOut := err == io.EOF, err != io.EOF && isTimeout(err)
	return StreamEnd{
		Complete: complete, Cut: !complete && wanted && !(timedOut && b.stalled), Endless: timedOut && !b.stalled, Stalled: b.stalled,
		Bytes: b.total, Early: b.early, Err: streamError(err),
	}
}

func streamError(err error) error {
	if err == io.EOF {
		return nil
	}
	return readError(err)
}

// whenEnded calls f once the body was read to its end, failed or was closed.
func (b *streamedBody) whenEnded(f func(StreamEnd)) {
	b.mu.Lock()
	end := b.end
	b.onEnd = f
	b.mu.Unlock()
	if end != nil {
		f(*end)
	}
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.taken == len(b.buffer.data) && b.err == nil && !b.closed {
		b.changed.Wait()
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	if b.taken == len(b.buffer.data) {
		return 0, b.err
	}
	n := copy(p, b.buffer.data[b.taken:])
	b.taken += n
	if b.end == nil {
		b.early += int64(n)
	}
	b.changed.Broadcast()
	return n, nil
}

// Close ends the use of the body. What has not been read yet is lost with its connection.
func (b *streamedBody) Close() error {
	b.mu.Lock()
	first, connDone := !b.closed, b.connDone
	b.closed = true
	if first && b.err != nil {
		b.buffer.memory.Release()
	}
	b.changed.Broadcast()
	b.mu.Unlock()
	if connDone {
		return nil
	}
	return b.conn.nc.Close()
}
