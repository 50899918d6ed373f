package pool

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

const errSealed = errors.ConstError("connection sealed before the request was written")

// conn is a connection to an upstream. The transport reports the use of it by
// trace hooks, so uses is 0 while it lies idle.
type conn struct {
	net.Conn
	owner *upstreamPool
	// order counts the connections to the upstream; older ones have lower numbers.
	order uint64
	uses  int // guarded by owner.mu

	mu      sync.Mutex
	sealed  bool
	written bool
	closed  bool
}

// Write records that bytes may have left before it hands them on.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed || c.closed {
		c.mu.Unlock()
		return 0, errSealed
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
	c.owner.forget(c)
	return c.Conn.Close()
}

// seal forbids further writes and reports whether there were any. The transport
// may return an error while its write goroutine has not started yet; without
// the seal that goroutine could still send the request.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

func (c *conn) wasWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}
