// Package transport provides the drpc client and server that the daemons of the
// system use among themselves.
//
// Connections use mutual TLS. The peer's role is the organisational unit of its
// certificate and determines which services it may call. Plaintext is allowed on
// loopback addresses, and on other addresses only with Security.TrustedNetwork.
// Every call, handshake, read and write has a timeout, so an unresponsive connection
// is closed within seconds. A call that times out also closes the idle connections to
// that peer.
package transport
