package transport

import "time"

// Limits of connections between daemons.
const (
	// ConnectTimeout bounds connecting. A round trip between two regions takes 110 ms, and a
	// busy link of 2 Mbit/s adds 200 ms. A SYN that was lost, as while the peer's VM is down,
	// is sent again only after 1 s, so another peer or a new attempt comes first.
	ConnectTimeout = 500 * time.Millisecond
	// HandshakeTimeout bounds the TLS handshake.
	HandshakeTimeout = 1500 * time.Millisecond
	// CallTimeout bounds a call whose context has no deadline. The round trip
	// between two regions takes 110 ms, and a long poll waits at most 1 s.
	CallTimeout = 3 * time.Second
	// IdleTimeout is how long a server waits for data before it closes a connection.
	// Clients poll every second, so only unused connections reach it.
	IdleTimeout = 15 * time.Second
	// WriteTimeout bounds each write. A peer that reads nothing for this long is
	// considered dead.
	WriteTimeout = 5 * time.Second
	// MaxMessageBytes is the maximum size of a message: a complete document and its envelope.
	MaxMessageBytes = 16 << 20
	// MaxConnections is the maximum number of open connections of a server.
	MaxConnections = 4096
	// MaxIdlePerPeer is the maximum number of idle connections of a client.
	MaxIdlePerPeer = 4
)
