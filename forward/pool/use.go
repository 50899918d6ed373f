package pool

import "sync"

// Use is the use of connections by one attempt. Its zero value is ready.
type Use struct {
	mu      sync.Mutex
	current *conn
	// youngest is the order of the last connection opened when current was taken.
	youngest uint64
	earlier  bool // the transport moved on from a connection that had been written to
}

func (u *Use) got(c *conn, youngest uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.current != nil && u.current.wasWritten() {
		u.earlier = true
	}
	u.current, u.youngest = c, youngest
}

// Seal forbids further writes for the attempt and reports whether any byte of
// its request may have left. A connection that carried requests before counts
// as written. The connection is closed.
func (u *Use) Seal() bool {
	u.mu.Lock()
	c, earlier := u.current, u.earlier
	u.mu.Unlock()
	if c == nil {
		return earlier
	}
	written := c.seal()
	_ = c.Close() // the attempt failed; the connection is of no further use
	return earlier || written
}

// Condemn closes the idle connections to the same upstream that were open when
// the attempt got its own, and those in use once they become idle. A path that
// went silent is silent for all of them; later ones were opened through the
// fault or after it.
func (u *Use) Condemn() {
	u.mu.Lock()
	c, youngest := u.current, u.youngest
	u.mu.Unlock()
	if c != nil {
		c.owner.condemn(youngest)
	}
}
