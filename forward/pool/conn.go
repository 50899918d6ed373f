package pool

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

const errWritesBlocked = errors.ConstError("connection sealed before the request was written")

// conn is a connection to an upstream. The transport reports the use of it by
// trace hooks, so uses is 0 while it lies idle.
type conn struct {
	net.Conn
	pool *upstreamPool
	// seq counts the connections to the upstream; older ones have lower numbers.
	seq  uint64
	uses int // guarded by owner.mu

	mu            sync.Mutex
	writesBlocked bool
	written       bool
	closed        bool
}

// Write records that bytes may have left before it hands them on.
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

// Close closes the connection and returns its permit once.
func (c *conn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.mu.Unlock()
	if closed {
		return nil
	}
	c.pool.remove(c)
	return c.Conn.Close()
}

// blockWrites forbids further writes and reports whether there were any. The transport
// may return an error while its write goroutine has not started yet; without
// the blockWrites that goroutine could still send the request.
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
