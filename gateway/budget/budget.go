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

// bucketCount is how many parts the window is counted in.
const bucketCount = 20

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

	mu         sync.Mutex
	slackShare float64 // of the slack
	requests   [bucketCount]float64
	retries    [bucketCount]float64
	newest     int64 // step of the newest count
}

// New returns a budget with all of the slack that begins now.
func New(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, origin: now, slackShare: 1}
}

// SetVMs sets among how many VMs the slack is shared out.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackShare = 1 / float64(max(n, 1))
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.advance(now)]++
}

// TryRetry counts a repeat if it is allowed.
func (b *Budget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	// The steps cover a little more than the window: all of them count for repeats,
	// and for requests those that are certainly inside it.
	requests := sum(b.requests) - b.requests[(i+1)%bucketCount]
	if sum(b.retries)+1 > b.limits.Ratio*requests+b.limits.Slack*b.slackShare {
		return false
	}
	b.retries[i]++
	return true
}

// advance clears what has left the window and returns the place of now.
func (b *Budget) advance(now time.Time) int {
	at := int64(now.Sub(b.origin) / (b.limits.Window / (bucketCount - 1)))
	for i := max(b.newest+1, at-bucketCount+1, 0); i <= at; i++ {
		b.requests[i%bucketCount], b.retries[i%bucketCount] = 0, 0
	}
	b.newest = max(b.newest, at)
	return int(b.newest % bucketCount)
}

func sum(counts [bucketCount]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
