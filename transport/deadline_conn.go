package transport

import (
	"net"
	"time"
)

// deadlineConn renews the read and write deadlines of a connection at each use.
type deadlineConn struct {
	net.Conn
	readTimeout time.Duration
}

// Read waits at most the read timeout for the next bytes.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write waits at most WriteTimeout for the peer to take the bytes.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
