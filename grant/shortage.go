package grant

import "pistachiomount.example/pistachiomount/clock"

// shortageDuration is how long a holder that gets less than its target makes the
// others give up the excess that the bands allow: one round of renewals.
const shortageDuration = RenewInterval + MinRenewInterval

// shortage notes that a holder could not get its target.
type shortage struct {
	active bool
	since  clock.Instant
}

func (s *shortage) start(now clock.Instant) { s.active, s.since = true, now }

func (s *shortage) isActive(now clock.Instant) bool {
	s.active = s.active && !hasElapsed(now, s.since, shortageDuration)
	return s.active
}
