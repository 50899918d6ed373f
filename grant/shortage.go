package grant

import "pistachiomount.example/pistachiomount/clock"

// shortageDuration is how long the other holders release the excess that the deadbands allow after
// one of them got less than its target: one round of renewals.
const shortageDuration = RenewInterval + MinRenewInterval

// shortage records that a holder recently could not get its target.
type shortage struct {
	active bool
	since  clock.Instant
}

func (s *shortage) start(now clock.Instant) { s.active, s.since = true, now }

func (s *shortage) isActive(now clock.Instant) bool {
	s.active = s.active && !hasElapsed(now, s.since, shortageDuration)
	return s.active
}
