package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener closes new connections at once while the limit is reached, as
// an endpoint does that has no room for more.
type limitListener struct {
	net.Listener
	limit   int64
	open    *atomic.Int64
	refused func()
}

// Accept returns the next connection below the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: connection, open: l.open}, nil
		}
		l.open.Add(-1)
		l.refused()
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset
		}
		_ = connection.Close()
	}
}

// limitedConn gives its place back when closed.
type limitedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
