package forward

import (
	"context"
	"time"

	"pistachiomount.example/pistachiomount/document"
)

// View is the configuration by which a request is handled. It is immutable.
type View struct {
	Index    *document.Index
	Revision uint64
	// Fresh is false once the view is older than the revocation bound allows.
	Fresh bool
	// StaleFor is the time since the view stopped being fresh.
	StaleFor time.Duration
	// Outdated is set while nothing may be decided by the view: the process was paused since it was confirmed, or has
	// just started.
	Outdated bool
	// Run is the number of the run of the process in which the view was read. It changes with each pause.
	Run uint64
	// Region is the region of this entry VM.
	Region string
}

// Views returns the current view. Implementations must be safe for concurrent use.
type Views interface {
	View() View
	// Await returns the current view. It waits while the view is outdated, at most until the given time.
	Await(ctx context.Context, until time.Time) View
}
