package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/plan"
)

// PlanView is the state of the routing plan at an entry VM. It is immutable.
type PlanView struct {
	// Revision is the log index of the last change in the view; 0 before the first.
	Revision uint64
	Index    *plan.Index
	// Evacuated holds the failure domains whose upstreams receive no requests.
	Evacuated map[string]bool

	raw         []byte
	digest      string
	confirmed   bool
	confirmedAt clock.Instant
}

// Age returns the time since the view was last confirmed as the newest. ok is false
// for a view that was never confirmed.
func (v *PlanView) Age(now clock.Instant) (age time.Duration, ok bool) {
	return now.ElapsedSince(v.confirmedAt), v.confirmed
}
