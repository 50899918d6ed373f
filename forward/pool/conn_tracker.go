package pool

import "sync"

// ConnTracker is the use of connections by one attempt. Its zero value is ready.
type ConnTracker struct {
	mu      sync.Mutex
	current *conn
	// newestSeq is the order of the last connection opened when current was taken.
	newestSeq      uint64
	earlierWritten bool // the transport moved on from a connection that had been written to
}

func (u *ConnTracker) setConn(c *conn, newestSeq uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil && u.current.wasWritten() {
		u.earlierWritten = true
	}
	u.current, u.newestSeq = c, newestSeq
}

// Abort forbids further writes for the attempt and reports whether any byte of
// its request may have left. A connection that carried requests before counts
// as written. The connection is closed.
func (u *ConnTracker) Abort() bool {
	u.mu.Lock()
	c, earlierWritten := u.current, u.earlierWritten
	u.mu.Unlock()
	if c == nil {
		return earlierWritten
	}
	written := c.blockWrites()
	_ = c.Close() // the attempt failed; the connection is of no further use
	return earlierWritten || written
}

// RetireConns closes the idle connections to the same upstream that were open when
// the attempt got its own, and those in use once they become idle. A path that
// went silent is silent for all of them; later ones were opened through the
// fault or after it.
func (u *ConnTracker) RetireConns() {
	u.mu.Lock()
	c, newestSeq := u.current, u.newestSeq
	u.mu.Unlock()
	if c != nil {
		c.pool.retire(newestSeq)
	}
}
