package gateway

import (
	"context"
	"time"
)

// knowledge tells whether this VM may act on its view and its lists. *entry.PlanFollower implements it.
type knowledge interface {
	// Current reports whether it may now. The number of the run of the process tells whether the process was paused
	// between two calls.
	Current() (run uint64, ok bool)
	// Await waits for that, at most until the given time.
	Await(ctx context.Context, until time.Time) (run uint64, ok bool)
	// AwaitLists waits until it may act on its lists, or they cannot be renewed.
	AwaitLists(ctx context.Context)
}
