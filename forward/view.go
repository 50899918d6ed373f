package forward

import (
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
	// Region is the region of this entry VM.
	Region string
}

// Views returns the current view. Implementations must be safe for concurrent use.
type Views interface {
	View() View
}
