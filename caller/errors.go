package caller

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrInvalidConfig marks an invalid configuration.
	ErrInvalidConfig = errors.ConstError("invalid caller configuration")
	// ErrLookupFailed marks a lookup that failed at all entry VMs.
	ErrLookupFailed = errors.ConstError("lookup failed")
	// ErrMismatchedResponses marks a run in which a response did not match its request.
	ErrMismatchedResponses = errors.ConstError("mismatched responses")
)
