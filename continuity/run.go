package continuity

import "pistachiomount.example/pistachiomount/clock"

// Run is a time in which the process ran without a pause.
type Run struct {
	// Number counts the runs of the process; the first one is 0.
	Number uint64
	// Began is the start of the process, or the end of the pause before the run.
	Began clock.Instant
}
