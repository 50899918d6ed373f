package pool

import "github.com/juju/errors"

// ErrNoPermit reports that the connection grant allows no further connection to the
// upstream.
const ErrNoPermit = errors.ConstError("connection grant exhausted")

// Permits limits the connections to each upstream by its connection grant. Implementations
// must be safe for concurrent use.
type Permits interface {
	// AcquireConn takes a permit for one connection without waiting and reports whether
	// there was one.
	AcquireConn(upstream string) bool
	// ReleaseConn returns the permit.
	ReleaseConn(upstream string)
}
