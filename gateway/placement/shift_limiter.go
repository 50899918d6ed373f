package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// shiftWindow is the sliding window over which the requests by region are counted.
	shiftWindow = 2 * time.Second
	// windowBuckets is the number of buckets of the window.
	windowBuckets = 8
	// maxShiftRate is the fraction of requests that may change their region per second. The
	// platform allows 0.15 in 2 s over all VMs of a region.
	maxShiftRate = 0.035
	// shareTolerance is how far the counted share of a region may exceed its reference share.
	shareTolerance = 0.015
	// preferenceWeight is the weight of one request in the moving average of preferences.
	preferenceWeight = 0.03
)

// ShiftLimiter bounds how fast the requests of one entry VM shift between regions, so that a load
// that rises or collapses within a second does not hit cold caches all at once.
//
// It maintains a reference share for each region, which follows the share of requests that prefer
// the region at a bounded rate; the counted share may exceed it only by shareTolerance. It is safe
// for concurrent use.
type ShiftLimiter struct {
	mu     sync.Mutex
	origin time.Time
	// reference and preferred are shares of requests by region.
	reference, preferred map[string]float64
	referenceAt          time.Time
	// counts are the requests by region in each bucket of the window.
	counts         [windowBuckets]map[string]float64
	newestBucket   int64 // bucket number since origin
	suspendedUntil time.Time
}

// NewShiftLimiter returns a limiter that starts at now with all requests in one region.
func NewShiftLimiter(now time.Time, region string) *ShiftLimiter {
	return &ShiftLimiter{
		origin: now, referenceAt: now,
		reference: map[string]float64{region: 1}, preferred: map[string]float64{region: 1},
	}
}

// SetInitialShares sets the shares to start from. It has no effect while the window contains
// requests.
func (p *ShiftLimiter) SetInitialShares(shares map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, counts := range p.counts {
		if len(counts) > 0 {
			return
		}
	}
	p.reference, p.preferred = map[string]float64{}, map[string]float64{}
	for region, share := range shares {
		p.reference[region], p.preferred[region] = share, share
	}
}

// Suspend removes the limit until the given time, after an outage.
func (p *ShiftLimiter) Suspend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.suspendedUntil) {
		p.suspendedUntil = until
	}
}

// RecordPlacement counts a request that is sent to a region.
func (p *ShiftLimiter) RecordPlacement(now time.Time, region string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bucket := p.advanceWindow(now)
	if p.counts[bucket] == nil {
		p.counts[bucket] = map[string]float64{}
	}
	p.counts[bucket][region]++
}

// RecordPreference records the region that a request would be sent to without the limit.
func (p *ShiftLimiter) RecordPreference(region string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.preferred[region]; !known {
		p.preferred[region] = 0
	}
	for r, share := range p.preferred {
		preference := 0.0
		if r == region {
			preference = 1
		}
		p.preferred[r] = share + preferenceWeight*(preference-share)
	}
}

// Allowed returns a function that reports whether a request may be sent to a region now.
func (p *ShiftLimiter) Allowed(now time.Time) func(region string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advanceWindow(now)
	counted, n := p.sumWindow()
	if now.Before(p.suspendedUntil) {
		p.resetReference(counted, n)
		p.referenceAt = now
		return func(string) bool { return true }
	}
	p.advanceReference(now)
	limits := make(map[string]float64, len(p.reference))
	for region, share := range p.reference {
		limits[region] = (share + shareTolerance) * (n + 1)
	}
	return func(region string) bool {
		limit, known := limits[region]
		if !known {
			limit = shareTolerance * (n + 1)
		}
		return counted[region] <= limit // <= permits one request above the limit, for windows with few requests
	}
}

// advanceReference moves the reference shares toward the preferred ones at a bounded rate.
func (p *ShiftLimiter) advanceReference(now time.Time) {
	elapsed := now.Sub(p.referenceAt).Seconds()
	p.referenceAt = now
	deficit := 0.0
	for region, preference := range p.preferred {
		deficit += math.Max(0, preference-p.reference[region])
	}
	if deficit <= 0 || elapsed <= 0 {
		return
	}
	fraction := math.Min(1, maxShiftRate*elapsed/deficit)
	for region, preference := range p.preferred {
		p.reference[region] += fraction * (preference - p.reference[region])
	}
}

// resetReference sets the reference to the counted shares, from which the limit continues when the
// suspension ends.
func (p *ShiftLimiter) resetReference(counted map[string]float64, n float64) {
	if n == 0 {
		return
	}
	p.reference, p.preferred = map[string]float64{}, map[string]float64{}
	for region, count := range counted {
		p.reference[region], p.preferred[region] = count/n, count/n
	}
}

// advanceWindow clears the buckets that have left the window and returns the index of the current
// one.
func (p *ShiftLimiter) advanceWindow(now time.Time) int {
	bucket := max(int64(now.Sub(p.origin)/(shiftWindow/windowBuckets)), p.newestBucket)
	for i := max(p.newestBucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		p.counts[i%windowBuckets] = nil
	}
	p.newestBucket = bucket
	return int(bucket % windowBuckets)
}

// sumWindow returns the requests by region in the window, and their total.
func (p *ShiftLimiter) sumWindow() (counted map[string]float64, n float64) {
	counted = map[string]float64{}
	for _, counts := range p.counts {
		for region, count := range counts {
			counted[region] += count
			n += count
		}
	}
	return counted, n
}
