package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/clientmap"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/document"
)

// view is the document in force with everything derived from it. It is immutable; a
// new confirmation replaces the whole view.
type view struct {
	raw      []byte
	revision uint64
	number   uint64
	digest   string
	index    *document.Index
	blocks   *clientmap.Table
	// confirmedAt is an instant at which the view was up to date: it contains every
	// change accepted before it.
	confirmedAt clock.Instant
	confirmed   bool
}

// age returns the time since the view was last known to be up to date, and false for a
// view that was never confirmed.
func (v *view) age(now clock.Instant) (time.Duration, bool) {
	if !v.confirmed {
		return 0, false
	}
	return now.ElapsedSince(v.confirmedAt), true
}
