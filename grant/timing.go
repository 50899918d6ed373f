package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// DefaultLease is the validity of a grant from the send time of its request.
	DefaultLease = 3 * time.Second
	// RenewInterval is the regular time between renewals of a holder.
	RenewInterval = time.Second
	// MinRenewInterval is the shortest time between renewals of a holder.
	MinRenewInterval = 200 * time.Millisecond
	// replyTimeout is how long a holder waits for a reply before it sends the
	// next request. It exceeds the round trip between regions several times,
	// because a new request voids the reply to the one before.
	replyTimeout = 300 * time.Millisecond
	// driftMargin covers clocks of two VMs that differ by 2% in speed.
	driftMargin = 0.02
)

// withDriftMargin lengthens a wait that ends on this clock so that d has also passed
// on any clock up to driftMargin slower.
func withDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*driftMargin)
}

// minElapsed returns the time that has certainly passed: the smaller of the
// monotonic and the boot-time difference. The owner must not end a wait early,
// and a bucket must not fill too fast, because a wall clock jumped forward.
func minElapsed(now, earlier clock.Instant) time.Duration {
	return max(0, min(now.Mono-earlier.Mono, now.Boot-earlier.Boot))
}

// hasElapsed reports whether at least d has certainly hasElapsed since earlier.
func hasElapsed(now, earlier clock.Instant, d time.Duration) bool {
	return minElapsed(now, earlier) >= d
}
