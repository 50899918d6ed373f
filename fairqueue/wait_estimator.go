package fairqueue

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// sampleWindow is the number of intervals between slots that are averaged. It covers more than one
// round of the 9 to 12 slots that a VM holds of a service.
const sampleWindow = 16

// waitEstimator estimates waiting times from the intervals between slots assigned while requests
// wait.
type waitEstimator struct {
	samples [sampleWindow]time.Duration
	count   int           // samples taken
	last    clock.Instant // last slot, or start of the backlog
	backlog bool
}

// startBacklog marks that requests wait from now on.
func (e *waitEstimator) startBacklog(now clock.Instant) {
	if !e.backlog {
		e.backlog, e.last = true, now
	}
}

// recordSlot records a slot assigned to a waiting request; waiting is the number of requests left.
func (e *waitEstimator) recordSlot(now clock.Instant, waiting int) {
	e.samples[e.count%sampleWindow] = now.ElapsedSince(e.last)
	e.count++
	e.last, e.backlog = now, waiting > 0
}

// interval is the mean of the samples without the longest. A single stall, for example while slots
// move to this VM or the process is paused, would otherwise count once for each request that waits.
func (e *waitEstimator) interval() time.Duration {
	taken := e.samples[:min(e.count, sampleWindow)]
	if len(taken) < 2 {
		return 0
	}
	var sum, longest time.Duration
	for _, sample := range taken {
		sum += sample
		longest = max(longest, sample)
	}
	return (sum - longest) / time.Duration(len(taken)-1)
}

// estimate returns the expected time until a request behind ahead others gets a slot. A stall is
// expected to last as long again as it has lasted.
func (e *waitEstimator) estimate(now clock.Instant, ahead int) time.Duration {
	interval := e.interval()
	next := interval
	if e.backlog {
		next = max(interval, now.ElapsedSince(e.last))
	}
	return interval*time.Duration(ahead) + next
}
