package caller

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrInvalidConfig marks a configuration that cannot be run.
	ErrInvalidConfig = errors.ConstError("unusable caller configuration")
	// ErrLookupFailed marks a lookup that no entry VM answered.
	ErrLookupFailed = errors.ConstError("lookup failed")
	// ErrMismatchedResponses marks a run in which a caller got an answer to another request.
	ErrMismatchedResponses = errors.ConstError("wrong answers")
)
