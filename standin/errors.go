package standin

import "github.com/juju/errors"

// Errors of this package.
const (
	// ErrConfig marks a configuration file or value that cannot be used.
	ErrConfig = errors.ConstError("unusable stand-in configuration")
	// ErrUnknown marks an upstream or VM that is not listed.
	ErrUnknown = errors.ConstError("unknown name or id")
	// ErrTooMany marks a list that has reached its bound.
	ErrTooMany = errors.ConstError("too many entries")
	// ErrRegister marks upstreams that the platform stand-in did not accept.
	ErrRegister = errors.ConstError("not registered at the platform")
)
