package standin

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrInvalidConfig marks an invalid configuration file or value.
	ErrInvalidConfig = errors.ConstError("invalid stand-in configuration")
	// ErrNotFound marks an upstream or VM that is not in the list.
	ErrNotFound = errors.ConstError("name or id not found")
	// ErrTooManyEntries marks a list that exceeds its maximum number of entries.
	ErrTooManyEntries = errors.ConstError("too many entries")
	// ErrRegistrationFailed marks upstreams that the platform stand-in did not accept or receive.
	ErrRegistrationFailed = errors.ConstError("registration at the platform failed")
)
