package pool

import "github.com/juju/errors"

// ErrNoPermit reports that no further connection to the upstream may be opened.
const ErrNoPermit = errors.ConstError("no connection grant left")

// Permits is the connection grant of upstreams. Implementations are safe for
// concurrent use.
type Permits interface {
	// AcquireConn takes one connection to the upstream without waiting.
	AcquireConn(upstream string) bool
	// ReleaseConn gives one back.
	ReleaseConn(upstream string)
}
