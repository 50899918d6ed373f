package admission

import "time"

const (
	// minRetryDelay is the least time until a caller comes back. A slot is freed every few
	// milliseconds in a region under full load; an earlier return would find the same.
	minRetryDelay = 30 * time.Millisecond
	// minRetrySpread is the least span over which returns are spread, so that callers that
	// were refused together do not return together.
	minRetrySpread = 100 * time.Millisecond
	// minOutageRetryDelay is the least time until a caller comes back to a VM that cannot serve
	// anyone yet. After a restart of all VMs that takes 1.5 to 3 s, mostly for an election.
	minOutageRetryDelay = 500 * time.Millisecond
	// maxRetryDelayShare is the share of the time left for which callers are ready to wait.
	maxRetryDelayShare = 1.0 / 3
)

// Rejection describes a request that is turned away.
type Rejection struct {
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Slack is how much later the request could start and still be answered in time.
	Slack time.Duration
}

// RetryAfterOverload returns when the caller of a request that found no room comes back: while
// an answer can still be in time, since a shortage of slots within the wait of a
// request is mostly one of moments. It is spread by u, a random number from 0 to 1.
func RetryAfterOverload(r Rejection, u float64) time.Duration {
	return spreadDelay(minRetryDelay, max(r.Slack, minRetryDelay+minRetrySpread), r.TimeLeft, u)
}

// RetryAfterOutage returns when a caller comes back to a VM that serves nobody yet: as late
// as it is ready to, since an earlier return would be refused as well.
func RetryAfterOutage(r Rejection, u float64) time.Duration {
	return spreadDelay(minOutageRetryDelay, time.Duration(float64(r.TimeLeft)*maxRetryDelayShare), r.TimeLeft, u)
}

// RetryAfterRateLimit returns when a customer above its rate comes back: when a token is likely
// to be there, and spread over as long again.
func RetryAfterRateLimit(r Rejection, wait time.Duration, u float64) time.Duration {
	wait = max(wait, minRetryDelay)
	return spreadDelay(wait, 2*wait, r.TimeLeft, u)
}

// spreadDelay spreads returns from the first to the last time, as far as callers wait.
func spreadDelay(first, last, left time.Duration, u float64) time.Duration {
	longest := max(time.Duration(float64(left)*maxRetryDelayShare), minRetryDelay)
	last = min(last, longest)
	first = min(first, max(last/2, minRetryDelay)) // so that those with little time left are spread too
	return first + time.Duration(u*float64(max(last-first, 0)))
}
