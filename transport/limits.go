package transport

import "time"

// Limits of connections between own processes.
const (
	// DialTimeout bounds connecting and the handshake, each.
	DialTimeout = 1500 * time.Millisecond
	// CallTimeout bounds a call whose context has no deadline. Two regions are
	// 110 ms apart and back, and a long poll waits at most 1 s.
	CallTimeout = 3 * time.Second
	// IdleTimeout closes a connection without a call. Polls come each second, so
	// only a connection that is no longer used lives that long.
	IdleTimeout = 15 * time.Second
	// WriteTimeout bounds each write; a peer that reads nothing for so long is gone.
	WriteTimeout = 5 * time.Second
	// MaxMessageBytes is the largest message: a whole document and its envelope.
	MaxMessageBytes = 16 << 20
	// MaxConnections is how many connections a server keeps.
	MaxConnections = 4096
	// MaxIdlePerPeer is how many idle connections a client keeps.
	MaxIdlePerPeer = 4
)
