package admission

import "time"

const (
	// waitShare is the share of a route's target time for which a request waits for
	// room. One that cannot be placed by then would be late, so its caller is told
	// while it still has the time to come back.
	waitShare = 1.0 / 8
	// minWait is the shortest wait for room: a slot that is freed in the region takes a few
	// milliseconds to be seen.
	minWait = 20 * time.Millisecond
)

// WaitDeadline returns until when a request waits for room. A request whose wait is over
// when it is asked again, after a refusal by an upstream, does not wait any more.
func WaitDeadline(received, now, deadline time.Time, target time.Duration) time.Time {
	until := received.Add(max(time.Duration(float64(target)*waitShare), minWait))
	switch {
	case until.After(deadline):
		return deadline
	case until.Before(now):
		return now
	}
	return until
}
