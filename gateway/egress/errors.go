package egress

import "github.com/juju/errors"

// Errors of an exchange.
const (
	// ErrUnreachable: no connection could be established, so nothing was sent.
	ErrUnreachable = errors.ConstError("upstream unreachable")
	// ErrAbandoned: the caller left, or the time of the request ended, before a connection was established.
	ErrAbandoned = errors.ConstError("no connection to upstream before the request ended")
	// ErrWithheld: the call was withheld once there was a connection.
	ErrWithheld = errors.ConstError("request withheld before it was sent")
	// ErrBroken: the connection ended, or carried unexpected data, before the response was complete.
	ErrBroken = errors.ConstError("connection to upstream broken")
	// ErrMismatched: only responses to other requests arrived.
	ErrMismatched = errors.ConstError("upstream answered a different request")
	// ErrRejected: the upstream declared that it did not run the request.
	ErrRejected = errors.ConstError("upstream did not accept the request")
	// ErrOverlong: the head of the response, with interim responses, exceeded its limit.
	ErrOverlong = errors.ConstError("head of upstream's response too large")
	// ErrTimeout: the response did not arrive in time.
	ErrTimeout = errors.ConstError("upstream did not answer in time")
)
