package inventory

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrUnavailable marks a request to the platform that timed out or failed.
	ErrUnavailable = errors.ConstError("platform unavailable")
	// ErrMalformed marks a response that is not a list with valid entries.
	ErrMalformed = errors.ConstError("malformed platform response")
	// ErrTooLarge marks a response above the size limit.
	ErrTooLarge = errors.ConstError("platform response too large")
	// ErrEntry marks an invalid list entry, which is dropped.
	ErrEntry = errors.ConstError("invalid list entry")
	// ErrProbe marks an upstream whose health or load could not be read.
	ErrProbe = errors.ConstError("upstream probe failed")
)
