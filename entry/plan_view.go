package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/plan"
)

// PlanView is what an entry VM knows of the routing plan. It does not change.
type PlanView struct {
	// Revision is the log index of the change that led to it; 0 before the first.
	Revision uint64
	Index    *plan.Index
	// Evacuated holds the failure domains whose upstreams get nothing.
	Evacuated map[string]bool

	raw         []byte
	digest      string
	confirmed   bool
	confirmedAt clock.Instant
}

// Age returns how long ago the view was confirmed as the newest. ok is false for
// a view that never was.
func (v *PlanView) Age(now clock.Instant) (age time.Duration, ok bool) {
	return now.ElapsedSince(v.confirmedAt), v.confirmed
}
