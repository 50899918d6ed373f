package admission

import "time"

const (
	// waitShare is the share of a route's target time for which a request waits for a free
	// slot. A request placed later would miss its target, so its caller is told while it
	// still has time to retry.
	waitShare = 1.0 / 8
	// minWait is the shortest wait for a free slot: it takes a few milliseconds until a
	// slot freed in the region is seen here.
	minWait = 20 * time.Millisecond
)

// LongestWait returns how long a request with a target time waits for a free slot at most.
func LongestWait(target time.Duration) time.Duration {
	return max(time.Duration(float64(target)*waitShare), minWait)
}

// WaitDeadline returns when a request stops waiting for a free slot. A request that an
// upstream rejected after its wait was over does not wait again.
func WaitDeadline(received, now, deadline time.Time, target time.Duration) time.Time {
	until := received.Add(LongestWait(target))
	switch {
	case until.After(deadline):
		return deadline
	case until.Before(now):
		return now
	}
	return until
}
