// Package pool keeps the HTTP connections to upstreams. Connections count
// against the upstream's connection grant while they are open, carry the order
// in which they were opened, and tell whether a request may have left on them.
package pool
