package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/clientmap"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
)

// view is a document in force with everything derived from it. It is immutable
// but for the confirmation, which is replaced together with the view.
type view struct {
	raw      []byte
	revision uint64
	number   uint64
	digest   string
	index    *document.Index
	blocks   *clientmap.Table
	// confirmedAt is an instant at which the view was complete: it holds every
	// change that was accepted before.
	confirmedAt clock.Instant
	confirmed   bool
}

// age returns how long ago the view was certainly complete.
func (v *view) age(now clock.Instant) (time.Duration, bool) {
	if !v.confirmed {
		return 0, false
	}
	return now.ElapsedSince(v.confirmedAt), true
}
