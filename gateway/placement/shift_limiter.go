package placement

import (
	"maps"
	"math"
	"slices"
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
	maxShiftRate = 0.04
	// shareTolerance is how far the share of a region may exceed its reference share for long.
	shareTolerance = 0.015
	// maxCredit is the credit that a region may save, in requests: chance alone makes the requests of a VM
	// differ from its reference shares by that many.
	maxCredit = 4.0
	// blockedRate is the part of the requests of the window that regions receive as credit while nothing
	// is placed, so that a region without room does not hold back the others for long.
	blockedRate = 0.1
	// drawStep is how far the draw for sparse requests advances from one to the next: the golden ratio
	// spreads successive draws evenly.
	drawStep = 0.6180339887
	// drawInterval is how long the region drawn for a sparse request holds.
	drawInterval = 250 * time.Millisecond
	// preferenceWeight is the weight of one request in the moving average of preferences.
	preferenceWeight = 0.01
)

// ShiftLimiter bounds how fast the requests of one entry VM shift between regions, so that a load
// that rises or collapses within a second does not hit cold caches all at once. The platform's bound is on
// the requests of all VMs of a region that run; those that are rejected do not count.
//
// It maintains a reference share for each region, which follows the share of requests that prefer
// the region at a bounded rate. Each placed request gives every region its reference share of a request as
// credit, and a request may be placed in a region with credit for it. When requests stop, so does credit:
// requests that wait for a region do not run there all the same while those for other regions have ended.
// It is safe for concurrent use.
type ShiftLimiter struct {
	mu     sync.Mutex
	origin time.Time
	// firstDraw is where the draws for sparse requests of this VM begin.
	firstDraw float64
	rate      requestRate
	// arrived is the number of requests so far.
	arrived int
	// reference and preferred are shares of requests by region.
	reference, preferred map[string]float64
	referenceAt          time.Time
	// credits are what regions may place, in requests, as of creditedAt.
	credits    map[string]float64
	creditedAt time.Time
	// placedAt is when the latest request was placed.
	placedAt time.Time
	// counts are the requests by region in each bucket of the window.
	counts       [windowBuckets]map[string]float64
	newestBucket int64 // bucket number since origin
	// total is the number of requests in the window.
	total          float64
	suspendedUntil time.Time
}

// NewShiftLimiter returns the limiter of a VM that starts at now with all requests in one region.
func NewShiftLimiter(now time.Time, vm, region string) *ShiftLimiter {
	return &ShiftLimiter{
		origin: now, referenceAt: now, firstDraw: float64(hashOf(vm)>>32) / (1 << 32),
		credits: map[string]float64{}, placedAt: now,
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
	clear(l.credits)
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
	l.total++
	l.placedAt = now
	l.addCredit(1)
	l.credits[region]--
}

// RecordArrival counts a request when it is considered for the first time.
func (l *ShiftLimiter) RecordArrival(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived++
	l.rate.record(now)
}

// RecordNotRun takes back the newest placement in a region: the request did not run there.
func (l *ShiftLimiter) RecordNotRun(now time.Time, region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceWindow(now)
	for i := range int64(windowBuckets) {
		counts := l.counts[(l.newestBucket-i+windowBuckets)%windowBuckets]
		if counts[region] > 0 {
			counts[region]--
			l.total--
			l.addCredit(-1)
			l.credits[region]++
			return
		}
	}
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
	if now.Before(l.suspendedUntil) {
		l.resetReference(l.sumWindow())
		l.referenceAt = now
		clear(l.credits)
		return func(string) bool { return true }
	}
	l.advanceReference(now)
	l.advanceCredit(now)
	if l.rate.sparse(now) {
		return l.allowedSparse(now)
	}
	due, most := make(map[string]float64, len(l.reference)), 0.0
	for region, share := range l.reference {
		due[region] = l.credits[region] + share + shareTolerance
		most = max(most, due[region])
	}
	return func(region string) bool { return due[region] >= min(most, 1) && due[region] > 0 }
}

// allowedSparse allows one region, drawn by the reference shares. When traffic ends, those that still come
// are mostly callers that return after a rejection. The requests before do not tell what all VMs
// together will place then, since each of them places one or two more. A new region is drawn for each
// request, and after drawInterval, since the upstreams of the drawn one may have no room.
func (l *ShiftLimiter) allowedSparse(now time.Time) func(region string) bool {
	draws := int64(l.arrived) + int64(now.Sub(l.origin)/drawInterval)
	_, position := math.Modf(l.firstDraw + drawStep*float64(draws))
	drawn := ""
	for _, region := range slices.Sorted(maps.Keys(l.reference)) {
		drawn = region
		if position -= l.reference[region]; position < 0 {
			break
		}
	}
	return func(region string) bool { return region == drawn }
}

// advanceCredit adds the credit of the time since the last call.
func (l *ShiftLimiter) advanceCredit(now time.Time) {
	elapsed := now.Sub(l.creditedAt)
	if l.creditedAt.IsZero() || elapsed < 0 || elapsed > shiftWindow {
		elapsed = 0
	}
	l.creditedAt = now
	perSecond := l.total / shiftWindow.Seconds()
	if now.Sub(l.placedAt) > shiftWindow { // all regions with room may be blocked
		perSecond = l.rate.at(now)
	}
	l.addCredit(blockedRate * perSecond * elapsed.Seconds())
}

// addCredit gives each region its share of a number of requests as credit.
func (l *ShiftLimiter) addCredit(requests float64) {
	for region, share := range l.reference {
		credit, known := l.credits[region]
		if !known {
			credit = shareTolerance * l.total
		}
		l.credits[region] = min(credit+requests*(share+shareTolerance), maxCredit)
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
		for _, count := range l.counts[i%windowBuckets] {
			l.total -= count
		}
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
