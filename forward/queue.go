package forward

import (
	"context"

	"github.com/juju/errors"
)

const (
	// ErrQueueFull reports that the customer already has its bound of waiting requests.
	ErrQueueFull = errors.ConstError("queue full")
	// ErrQueueTooLong reports that the expected wait exceeds the deadline.
	ErrQueueTooLong = errors.ConstError("expected wait exceeds the deadline")
	// ErrNoSlots reports that this VM holds no slot of the service and got none in time.
	ErrNoSlots = errors.ConstError("no slot of the service is held here")
)

// Queue is the weighted fair queue of each service in front of its slots.
type Queue interface {
	// Acquire waits for the customer's turn, at most until the deadline of the
	// context, which is that of the request. It returns ErrQueueFull,
	// ErrQueueTooLong, ErrNoSlots or the context's error; then there is no turn to release.
	Acquire(ctx context.Context, service, customer string) error
	// Release ends a turn.
	Release(service, customer string)
}
