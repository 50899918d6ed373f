package fairqueue

import (
	"fmt"
	"time"
)

// Reason says why a request was rejected.
type Reason uint8

const (
	// ReasonQueueFull says that the customer has the maximum number of requests waiting.
	ReasonQueueFull Reason = iota + 1
	// ReasonExpectedWait says that the deadline would pass before a slot is free.
	ReasonExpectedWait
	// ReasonDeadline says that the deadline passed on arrival or in the queue.
	ReasonDeadline
	// ReasonCanceled says that the caller stopped waiting.
	ReasonCanceled
)

// String returns the name of the reason.
func (r Reason) String() string {
	switch r {
	case ReasonQueueFull:
		return "queue full"
	case ReasonExpectedWait:
		return "expected wait exceeds the deadline"
	case ReasonDeadline:
		return "deadline passed"
	case ReasonCanceled:
		return "canceled"
	}
	return fmt.Sprintf("reason %d", uint8(r))
}

// Rejection is the error of a request that got no slot and was not executed.
type Rejection struct {
	Reason Reason
	// RetryAfter is the expected time until a slot is free; 0 if unknown.
	RetryAfter time.Duration
}

// Error describes the rejection.
func (r *Rejection) Error() string { return "no slot: " + r.Reason.String() }
