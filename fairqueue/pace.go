package fairqueue

import (
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// paceGain weighs one sample in the average time between slots.
const paceGain = 1.0 / 16

// pace measures the time between slots handed out while requests wait.
type pace struct {
	interval time.Duration // average, 0 before the first sample
	last     clock.Instant // last slot, or begin of the backlog
	backlog  bool
}

// begin notes that requests wait from now on.
func (p *pace) begin(now clock.Instant) {
	if !p.backlog {
		p.backlog, p.last = true, now
	}
}

// served notes a slot handed out to a waiting request.
func (p *pace) served(now clock.Instant, waiting int) {
	sample := now.ElapsedSince(p.last)
	if p.interval == 0 {
		p.interval = sample
	}
	p.interval += time.Duration(float64(sample-p.interval) * paceGain)
	p.last, p.backlog = now, waiting > 0
}

// wait estimates the time until a request behind ahead others has a slot. While
// no slot comes, the time since the last one is a lower bound of the interval.
func (p *pace) wait(now clock.Instant, ahead int) time.Duration {
	interval := p.interval
	if p.backlog {
		interval = max(interval, now.ElapsedSince(p.last))
	}
	return interval * time.Duration(ahead+1)
}
