package admission

import "time"

// capacityRetrySpread is the share of the longest delay over which retries of requests rejected for lack of
// capacity are spread.
const capacityRetrySpread = 0.25

// RetryAfterOverCapacity returns the delay before the caller of a request retries that was rejected for lack
// of capacity: as long as the retry can still wait for a slot and meet the target, less a quarter at most that
// spreads the retries. Callers have few retries. During a burst an early one finds no capacity either, and a
// retry without time to wait takes capacity for a late response. r.Slack must not include the time that the
// retry may wait.
func RetryAfterOverCapacity(r Rejection, u float64) time.Duration {
	last := min(r.Slack, time.Duration(float64(r.TimeLeft)*maxRetryDelayShare))
	if last < minRetryDelay+minRetrySpread {
		return RetryAfterOverload(r, u)
	}
	spread := max(minRetrySpread, time.Duration(capacityRetrySpread*float64(last)))
	return last - time.Duration(u*float64(spread))
}
