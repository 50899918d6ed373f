package forward

import (
	"context"

	"github.com/juju/errors"
)

const (
	// ErrQueueFull reports that the customer already has its maximum of waiting requests.
	ErrQueueFull = errors.ConstError("queue full")
	// ErrQueueTooLong reports that the expected wait exceeds the deadline.
	ErrQueueTooLong = errors.ConstError("expected wait exceeds the deadline")
	// ErrNoSlots reports that this VM holds no slot of the service and got none in time.
	ErrNoSlots = errors.ConstError("no slot of the service on this VM")
)

// Queue is the weighted fair queue in front of the slots of each service.
type Queue interface {
	// Acquire waits for a permit of the customer, at most until the deadline of the
	// context, which is that of the request. It returns ErrQueueFull, ErrQueueTooLong,
	// ErrNoSlots or the context's error; in these cases there is no permit to release.
	Acquire(ctx context.Context, service, customer string) error
	// Release returns a permit.
	Release(service, customer string)
}
