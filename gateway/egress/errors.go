package egress

import "github.com/juju/errors"

// Errors of an exchange.
const (
	// ErrUnreachable: no connection could be made, so nothing was sent.
	ErrUnreachable = errors.ConstError("the upstream cannot be reached")
	// ErrBroken: the connection ended or carried something else before the answer was whole.
	ErrBroken = errors.ConstError("the connection to the upstream broke")
	// ErrMismatched: only answers to other requests arrived.
	ErrMismatched = errors.ConstError("the upstream answered another request")
	// ErrRefused: the upstream says that it did not run the request.
	ErrRefused = errors.ConstError("the upstream refused the request")
	// ErrTimeout: the answer did not arrive in time.
	ErrTimeout = errors.ConstError("the upstream did not answer in time")
)
