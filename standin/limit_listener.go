package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitListener resets new connections while the limit of open connections is
// reached, as an overloaded endpoint does.
type limitListener struct {
	net.Listener
	maxConns  int64
	openConns *atomic.Int64
	onReject  func()
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.maxConns {
			return &limitedConn{Conn: connection, openConns: l.openConns}, nil
		}
		l.openConns.Add(-1)
		l.onReject()
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset
		}
		_ = connection.Close()
	}
}

// limitedConn decrements the count of open connections when it is closed.
type limitedConn struct {
	net.Conn
	openConns *atomic.Int64
	once      sync.Once
}

// Close closes the connection. Only the first call changes the count.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.openConns.Add(-1) })
	return c.Conn.Close()
}
