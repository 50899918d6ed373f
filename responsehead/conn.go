package responsehead

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// Conn is a connection whose reader is net/http's client. It checks the status lines of the interim responses and of the
// response to each request, while the bytes arrive.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	scanner scanner
	invalid bool
}

// NewConn returns a connection on which a response is expected.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// ExpectResponse starts the check of the next response. It is called before a request is sent on a connection that
// carried another one.
func (c *Conn) ExpectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner = scanner{}
}

// Read returns the bytes up to the first invalid one of a status line, and ErrInvalid from then on. If it returned the error
// alone, net/http could take it for an idle connection that was closed, and send the request again.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failed() {
		return 0, errors.Trace(ErrInvalid)
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.scanner.scan(p[:n]); at >= 0 {
		c.invalid = true
		return at + 1, nil
	}
	return n, err
}

func (c *Conn) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}
