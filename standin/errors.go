package standin

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrInvalidConfig marks a configuration file or value that cannot be used.
	ErrInvalidConfig = errors.ConstError("unusable stand-in configuration")
	// ErrNotFound marks an upstream or VM that is not listed.
	ErrNotFound = errors.ConstError("unknown name or id")
	// ErrTooManyEntries marks a list that has reached its bound.
	ErrTooManyEntries = errors.ConstError("too many entries")
	// ErrRegistrationFailed marks upstreams that the platform stand-in did not accept.
	ErrRegistrationFailed = errors.ConstError("not registered at the platform")
)
