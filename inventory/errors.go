package inventory

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrUnavailable marks a platform that did not answer in time or with an error.
	ErrUnavailable = errors.ConstError("platform unavailable")
	// ErrMalformed marks an answer that is no list of valid entries.
	ErrMalformed = errors.ConstError("malformed platform answer")
	// ErrTooLarge marks an answer above the size limit.
	ErrTooLarge = errors.ConstError("platform answer too large")
	// ErrEntry marks one list entry that was dropped.
	ErrEntry = errors.ConstError("invalid entry")
	// ErrProbe marks an upstream whose health or load could not be read.
	ErrProbe = errors.ConstError("upstream probe failed")
)
