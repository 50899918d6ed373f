package operator

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrUnreachable says that no control daemon answered. A submission may have
// taken effect nevertheless.
const ErrUnreachable = errors.ConstError("no control daemon answered")

// RejectedError is the answer of a control daemon that refused a request.
type RejectedError struct {
	Status  int
	Reason  string
	Message string
}

// Error returns the reason and the message.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Reason, e.Message)
}
