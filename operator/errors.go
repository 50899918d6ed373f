package operator

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrUnreachable reports that no control daemon gave a usable response. A
// submission may have taken effect nevertheless.
const ErrUnreachable = errors.ConstError("no control daemon responded")

// RejectedError is the error response of a control daemon that rejected a request.
type RejectedError struct {
	Status  int
	Reason  string
	Message string
}

// Error returns the reason followed by the message.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}
