package placement

import "time"

// RejectionChange tells that an upstream began or ceased to reject requests although it has free slots.
type RejectionChange struct {
	Upstream string
	// Rate is the rejection rate at the beginning, 0 at the end.
	Rate float64
	// Duration is how long it lasted; 0 at the beginning.
	Duration time.Duration
}

// RejectionChanges returns the changes since the last call.
func (t *Table) RejectionChanges(now time.Time) []RejectionChange {
	var changes []RejectionChange
	for _, u := range t.upstreams {
		r := &u.recent.rejections
		rate := r.notable(now)
		switch {
		case rate > 0 && r.since.IsZero():
			r.since = now
			changes = append(changes, RejectionChange{Upstream: u.ID, Rate: rate})
		case rate == 0 && !r.since.IsZero():
			changes = append(changes, RejectionChange{Upstream: u.ID, Duration: now.Sub(r.since)})
			r.since = time.Time{}
		}
	}
	return changes
}
