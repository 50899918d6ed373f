package transport

import (
	"net"
	"time"
)

// deadlineConn is a connection that sets a new deadline before each read and write.
type deadlineConn struct {
	net.Conn
	readTimeout time.Duration
}

// Read waits at most readTimeout for data.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write waits at most WriteTimeout until the data is written.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
