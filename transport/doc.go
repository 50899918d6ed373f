// Package transport connects the system's own processes by drpc.
//
// Connections use mutual TLS; the peer's role is the organisational unit of its
// certificate and decides which services it may call. Plaintext is allowed only
// on loopback addresses. Every call, handshake, read and write has a time limit,
// so a connection that went silent is closed within seconds, and a call that
// timed out closes the idle connections to that peer as well.
package transport
