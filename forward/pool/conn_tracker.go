package pool

import "sync"

// ConnTracker records the connections that one attempt uses. Its zero value is ready to
// use.
type ConnTracker struct {
	// Withhold, if set, reports whether the request must not be sent after all. It is asked once there is a connection.
	Withhold func() bool

	mu      sync.Mutex
	current *conn
	// newestSeq is the number of the newest connection when current was taken.
	newestSeq      uint64
	earlierWritten bool // the transport switched from a connection that had been written to
	withheld       bool
}

func (u *ConnTracker) setConn(c *conn, newestSeq uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil && u.current.wasWritten() {
		u.earlierWritten = true
	}
	u.current, u.newestSeq = c, newestSeq
}

// withhold blocks the request on its connection if it must not be sent.
func (u *ConnTracker) withhold(c *conn) {
	if u.Withhold == nil || !u.Withhold() {
		return
	}
	c.blockWrites()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.withheld = true
}

// Withheld reports whether the request was withheld.
func (u *ConnTracker) Withheld() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.withheld
}

// Abort blocks further writes for the attempt, closes its connection and reports whether
// any byte of its request may have been sent. A connection that carried earlier requests
// counts as written.
func (u *ConnTracker) Abort() bool {
	u.mu.Lock()
	c, earlierWritten := u.current, u.earlierWritten
	u.mu.Unlock()
	if c == nil {
		return earlierWritten
	}
	written := c.blockWrites()
	_ = c.Close() // the attempt failed, so an error on close has no effect
	return earlierWritten || written
}

// RetireConns closes the connections to the same upstream that were open when the attempt
// took its own: idle ones now, the others once they become idle. If one of them timed out,
// the network path of all of them may be broken; later connections were opened after the
// fault or in spite of it.
func (u *ConnTracker) RetireConns() {
	u.mu.Lock()
	c, newestSeq := u.current, u.newestSeq
	u.mu.Unlock()
	if c != nil {
		c.pool.retire(newestSeq)
	}
}
