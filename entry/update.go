package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/continuity"
)

// update is when a process last learned of changes.
type update struct {
	known bool
	// at is an instant up to which it knows of all changes.
	at clock.Instant
	// run is the run of the process in which it learned of them, and at was recent.
	run uint64
}

// covers reports whether the knowledge was recent, at most maxAge old, at some moment of the run.
func (u *update) covers(run continuity.Run, maxAge time.Duration) bool {
	return u.known && (u.run == run.Number || run.Began.ElapsedSince(u.at) <= maxAge)
}
