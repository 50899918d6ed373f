package grant

import "pistachiomount.example/pistachiomount/clock"

// shortageTime is how long a holder that gets less than its target makes the
// others give up the excess that the bands allow: one round of renewals.
const shortageTime = RenewInterval + MinRenewInterval

// shortage notes that a holder could not get its target.
type shortage struct {
	on    bool
	since clock.Instant
}

func (s *shortage) begin(now clock.Instant) { s.on, s.since = true, now }

func (s *shortage) lasts(now clock.Instant) bool {
	s.on = s.on && !passed(now, s.since, shortageTime)
	return s.on
}
