package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// DefaultLease is how long a grant is valid, counted from when its request was sent.
	DefaultLease = 3 * time.Second
	// RenewInterval is the regular time between renewals of a holder.
	RenewInterval = time.Second
	// MinRenewInterval is the shortest time between renewals of a holder.
	MinRenewInterval = 200 * time.Millisecond
	// replyTimeout is how long a holder waits for a reply before it sends the next request. It is
	// several round trips between regions, because a new request voids the reply to the
	// one before.
	replyTimeout = 300 * time.Millisecond
	// maxProcessAgeMS bounds the age of a process that a request may report, in milliseconds.
	maxProcessAgeMS = 3_600_000
	// driftMargin is the largest relative difference in speed between the clocks of two VMs.
	driftMargin = 0.02
)

// withDriftMargin lengthens a wait measured on this clock so that d has also elapsed on any clock
// that is up to driftMargin slower.
func withDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*driftMargin)
}

// minElapsed returns the time that has certainly elapsed: the smaller of the monotonic and the
// boot-time difference. The wall clock is not used: if it jumped forward, the owner would end
// a wait early and a bucket would fill too fast.
func minElapsed(now, earlier clock.Instant) time.Duration {
	return max(0, min(now.Mono-earlier.Mono, now.Boot-earlier.Boot))
}

// hasElapsed reports whether at least d has certainly elapsed since earlier.
func hasElapsed(now, earlier clock.Instant, d time.Duration) bool {
	return minElapsed(now, earlier) >= d
}
