package caller

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrConfig marks a configuration that cannot be run.
	ErrConfig = errors.ConstError("unusable caller configuration")
	// ErrLookup marks a lookup that no entry VM answered.
	ErrLookup = errors.ConstError("lookup failed")
	// ErrWrongAnswers marks a run in which a caller got an answer to another request.
	ErrWrongAnswers = errors.ConstError("wrong answers")
)
