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
func (l *ShiftLimiter) SetInitialShares(shares map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, counts := range l.counts {
		if len(counts) > 0 {
			return
		}
	}
	l.reference, l.preferred = map[string]float64{}, map[string]float64{}
	for region, share := range shares {
		l.reference[region], l.preferred[region] = share, share
	}
}

// Suspend removes the limit until the given time, after an outage.
func (l *ShiftLimiter) Suspend(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.suspendedUntil) {
		l.suspendedUntil = until
	}
}

// RecordPlacement counts a request that is sent to a region.
func (l *ShiftLimiter) RecordPlacement(now time.Time, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bucket := l.advanceWindow(now)
	if l.counts[bucket] == nil {
		l.counts[bucket] = map[string]float64{}
	}
	l.counts[bucket][region]++
}

// RecordPreference records the region that a request would be sent to without the limit.
func (l *ShiftLimiter) RecordPreference(region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.preferred[region]; !known {
		l.preferred[region] = 0
	}
	for r, share := range l.preferred {
		preference := 0.0
		if r == region {
			preference = 1
		}
		l.preferred[r] = share + preferenceWeight*(preference-share)
	}
}

// Allowed returns a function that reports whether a request may be sent to a region now.
func (l *ShiftLimiter) Allowed(now time.Time) func(region string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceWindow(now)
	counted, n := l.sumWindow()
	if now.Before(l.suspendedUntil) {
		l.resetReference(counted, n)
		l.referenceAt = now
		return func(string) bool { return true }
	}
	l.advanceReference(now)
	limits := make(map[string]float64, len(l.reference))
	for region, share := range l.reference {
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
func (l *ShiftLimiter) advanceReference(now time.Time) {
	elapsed := now.Sub(l.referenceAt).Seconds()
	l.referenceAt = now
	deficit := 0.0
	for region, preference := range l.preferred {
		deficit += math.Max(0, preference-l.reference[region])
	}
	if deficit <= 0 || elapsed <= 0 {
		return
	}
	fraction := math.Min(1, maxShiftRate*elapsed/deficit)
	for region, preference := range l.preferred {
		l.reference[region] += fraction * (preference - l.reference[region])
	}
}

// resetReference sets the reference to the counted shares, from which the limit continues when the
// suspension ends.
func (l *ShiftLimiter) resetReference(counted map[string]float64, n float64) {
	if n == 0 {
		return
	}
	l.reference, l.preferred = map[string]float64{}, map[string]float64{}
	for region, count := range counted {
		l.reference[region], l.preferred[region] = count/n, count/n
	}
}

// advanceWindow clears the buckets that have left the window and returns the index of the current
// one.
func (l *ShiftLimiter) advanceWindow(now time.Time) int {
	bucket := max(int64(now.Sub(l.origin)/(shiftWindow/windowBuckets)), l.newestBucket)
	for i := max(l.newestBucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		l.counts[i%windowBuckets] = nil
	}
	l.newestBucket = bucket
	return int(bucket % windowBuckets)
}

// sumWindow returns the requests by region in the window, and their total.
func (l *ShiftLimiter) sumWindow() (counted map[string]float64, n float64) {
	counted = map[string]float64{}
	for _, counts := range l.counts {
		for region, count := range counts {
			counted[region] += count
			n += count
		}
	}
	return counted, n
}
