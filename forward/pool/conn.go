package pool

import (
	"sync"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/responsehead"
)

const errWritesBlocked = errors.ConstError("connection closed for writes before the request was sent")

// conn is a connection to an upstream. Trace hooks of the transport report when a request
// takes and returns it, so uses is 0 while it is idle.
type conn struct {
	*responsehead.Conn
	pool *upstreamPool
	// seq numbers the connections to the upstream in the order in which they were opened.
	seq  uint64
	uses int // guarded by pool.mu

	mu            sync.Mutex
	writesBlocked bool
	written       bool
	closed        bool
}

// Write sets written before it passes the bytes on, because they may be sent even if the
// write fails.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked || c.closed {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close closes the connection and releases its permit once. The permit is released when Close
// returns, also if another goroutine is closing the connection.
func (c *conn) Close() error {
	if !c.releasePermit() {
		return nil
	}
	return c.Conn.Close()
}

// releasePermit marks the connection as closed and reports whether it was open before.
func (c *conn) releasePermit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	c.pool.remove(c) // takes pool.mu, which is never held while c.mu is taken
	return true
}

// blockWrites makes further writes fail and reports whether any write took place before.
// The transport may return an error before its write goroutine has started; without the
// block that goroutine could still send the request.
func (c *conn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.written
}

func (c *conn) wasWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}
