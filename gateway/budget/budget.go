// Package budget bounds how often requests are sent to a second upstream.
//
// It answers an outage in which every request fails and every VM would send its
// requests again: repeats stay below a share of the requests plus a constant, in
// any window and over all VMs together, because each VM keeps to its own part.
package budget

import (
	"sync"
	"time"
)

// steps is how many parts the window is counted in.
const steps = 20

// Limits are the terms of a budget.
type Limits struct {
	// Ratio is the share of requests that may be repeated.
	Ratio float64
	// Window is the span in which both are counted.
	Window time.Duration
	// Slack is what all VMs together may repeat beyond it.
	Slack float64
}

// Budget counts the requests and repeats of one service at one VM. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	origin time.Time // steps are counted from here on the monotonic clock

	mu       sync.Mutex
	part     float64 // of the slack
	requests [steps]float64
	repeats  [steps]float64
	at       int64 // step of the newest count
}

// New returns a budget with all of the slack that begins now.
func New(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, origin: now, part: 1}
}

// SetVMs sets among how many VMs the slack is shared out.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.part = 1 / float64(max(n, 1))
}

// Request counts a request.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.step(now)]++
}

// TryRepeat counts a repeat if it is allowed.
func (b *Budget) TryRepeat(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.step(now)
	// The steps cover a little more than the window: all of them count for repeats,
	// and for requests those that are certainly inside it.
	requests := sum(b.requests) - b.requests[(i+1)%steps]
	if sum(b.repeats)+1 > b.limits.Ratio*requests+b.limits.Slack*b.part {
		return false
	}
	b.repeats[i]++
	return true
}

// step clears what has left the window and returns the place of now.
func (b *Budget) step(now time.Time) int {
	at := int64(now.Sub(b.origin) / (b.limits.Window / (steps - 1)))
	for i := max(b.at+1, at-steps+1, 0); i <= at; i++ {
		b.requests[i%steps], b.repeats[i%steps] = 0, 0
	}
	b.at = max(b.at, at)
	return int(b.at % steps)
}

func sum(counts [steps]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
