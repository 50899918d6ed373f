// Package budget limits retries, that is, requests sent to a second upstream.
//
// During an outage in which every request fails, every VM would retry its requests. The
// budget keeps the retries of all VMs together below a share of the requests plus a
// constant, in any window, because each VM stays within its share of both.
package budget

import (
	"sync"
	"time"
)

// bucketCount is the number of buckets into which the window is divided.
const bucketCount = 20

const (
	// rankCount is the number of urgencies that are told apart.
	rankCount = 5
	// urgentPart is the part of the budget that is left to each kind of more urgent requests. The least urgent keep a
	// fifth, so that they are still retried.
	urgentPart = 0.2
)

// Limits configure a budget.
type Limits struct {
	// Ratio is the share of requests that may be retried.
	Ratio float64
	// Window is the period over which requests and retries are counted.
	Window time.Duration
	// Slack is the number of retries per window that all VMs together may make beyond Ratio.
	Slack float64
}

// Budget counts the requests and retries of one service at one VM. It is safe for
// concurrent use.
type Budget struct {
	limits Limits
	origin time.Time // start of the first bucket, on the monotonic clock

	mu         sync.Mutex
	slackShare float64 // this VM's share of the slack, from 0 to 1
	ranks      [rankCount]counts
	newest     int64 // number of the newest bucket, counted from origin
}

// counts are the requests and retries of one urgency.
type counts struct {
	requests, retries [bucketCount]float64
}

// New returns a budget that starts now and holds all of the slack.
func New(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, origin: now, slackShare: 1}
}

// SetVMs sets the number of VMs that share the slack.
func (b *Budget) SetVMs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slackShare = 1 / float64(max(n, 1))
}

// RecordRequest counts a request of an urgency, 0 being the most urgent.
func (b *Budget) RecordRequest(now time.Time, urgency int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ranks[rank(urgency)].requests[b.advance(now)]++
}

// TryRetry counts a retry of a request and returns true if the budget allows it. It leaves a part to each kind of more
// urgent requests that the window contains.
func (b *Budget) TryRetry(now time.Time, urgency int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.advance(now)
	requests, retries, usable := 0.0, 0.0, 1.0
	for r := range b.ranks {
		// The buckets cover slightly more than the window. Retries are summed over all of
		// them, requests only over those that lie entirely inside the window.
		c := &b.ranks[r]
		n := sum(c.requests) - c.requests[(i+1)%bucketCount]
		if n > 0 && r < rank(urgency) {
			usable -= urgentPart
		}
		requests += n
		retries += sum(c.retries)
	}
	if retries+1 > usable*(b.limits.Ratio*requests+b.limits.Slack*b.slackShare) {
		return false
	}
	b.ranks[rank(urgency)].retries[i]++
	return true
}

// rank returns the index of an urgency.
func rank(urgency int) int { return min(max(urgency, 0), rankCount-1) }

// advance clears the buckets that have left the window and returns the index of the bucket
// of now.
func (b *Budget) advance(now time.Time) int {
	at := int64(now.Sub(b.origin) / (b.limits.Window / (bucketCount - 1)))
	for i := max(b.newest+1, at-bucketCount+1, 0); i <= at; i++ {
		for r := range b.ranks {
			b.ranks[r].requests[i%bucketCount], b.ranks[r].retries[i%bucketCount] = 0, 0
		}
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
