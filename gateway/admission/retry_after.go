package admission

import "time"

const (
	// minRetryDelay is the shortest delay before a retry. In a region under full load a
	// slot is freed every few milliseconds; a caller that retried earlier would find the
	// same state.
	minRetryDelay = 30 * time.Millisecond
	// minRetrySpread is the shortest interval over which retries are spread, so that
	// callers rejected together do not retry together.
	minRetrySpread = 100 * time.Millisecond
	// outageRetrySpread is the share of the longest delay over which retries at VMs that
	// cannot serve anyone yet are spread. After a restart of all VMs it takes 1.5 to 3 s
	// until they serve, mostly for an election.
	outageRetrySpread = 0.25
	// pauseRetrySpread is the part of a pause over which retries after it are spread.
	pauseRetrySpread = 0.25
	// firstShiftRetry and lastShiftRetry are when callers retry whose requests may not shift to another region
	// now. Shares of regions move by a few hundredths in a second, and callers that return together when
	// traffic ends would shift at once.
	firstShiftRetry = 250 * time.Millisecond
	lastShiftRetry  = 1250 * time.Millisecond
	// maxRetryDelayShare is the share of its remaining time for which a caller is willing to wait.
	maxRetryDelayShare = 1.0 / 3
)

// Rejection describes a rejected request.
type Rejection struct {
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Slack is how much later the request could start and still meet its target.
	Slack time.Duration
}

// RetryAfterOverload returns the delay before the caller of a request that got no slot
// retries. The retry can still meet the target, because most shortages of slots last only
// moments. u, a random number from 0 to 1, spreads the delays.
func RetryAfterOverload(r Rejection, u float64) time.Duration {
	return spreadDelay(minRetryDelay, max(r.Slack, minRetryDelay+minRetrySpread), r.TimeLeft, u)
}

// RetryAfterOutage returns the delay before a caller retries at a VM that does not serve yet: as long
// as the caller is willing to wait, less a quarter at most that spreads the retries, since an earlier
// one would be rejected too and callers have few.
func RetryAfterOutage(r Rejection, u float64) time.Duration {
	longest := time.Duration(float64(r.TimeLeft) * maxRetryDelayShare)
	return max(minRetryDelay, longest-time.Duration(u*outageRetrySpread*float64(longest)))
}

// RetryAfterRateLimit returns the delay before a caller above its rate retries: wait is
// the time until a token is likely to be available, and the delays are spread over as long
// again.
func RetryAfterRateLimit(r Rejection, wait time.Duration, u float64) time.Duration {
	wait = max(wait, minRetryDelay)
	return spreadDelay(wait, 2*wait, r.TimeLeft, u)
}

// RetryAfterShiftLimit returns the delay before a caller retries whose request only another region could
// serve, to which no further request may shift now.
func RetryAfterShiftLimit(r Rejection, u float64) time.Duration {
	return spreadDelay(firstShiftRetry, lastShiftRetry, r.TimeLeft, u)
}

// RetryAfterPause returns the delay before a caller retries whose upstreams all pause: not before the
// first of them is open again, even if the caller is not willing to wait for so long.
func RetryAfterPause(wait time.Duration, u float64) time.Duration {
	spread := max(minRetrySpread, time.Duration(pauseRetrySpread*float64(wait)))
	return max(wait, 0) + minRetryDelay + time.Duration(u*float64(spread))
}

// spreadDelay returns a delay between first and last, capped at what the caller accepts.
func spreadDelay(first, last, left time.Duration, u float64) time.Duration {
	longest := max(time.Duration(float64(left)*maxRetryDelayShare), minRetryDelay)
	last = min(last, longest)
	first = min(first, max(last/2, minRetryDelay)) // spreads callers with little time left too
	return first + time.Duration(u*float64(max(last-first, 0)))
}
