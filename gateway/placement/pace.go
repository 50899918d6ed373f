package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// shiftWindow is the span over which shares of regions are counted.
	shiftWindow = 2 * time.Second
	// windowBuckets is how many parts the window is counted in.
	windowBuckets = 8
	// maxShiftRate is how much of the requests may change their region per second. The
	// platform allows 0.15 in 2 s over all VMs of a region.
	maxShiftRate = 0.035
	// shareTolerance is how far the counted share of a region may be above its reference.
	shareTolerance = 0.015
	// preferenceWeight is the weight of one request in the average of preferences.
	preferenceWeight = 0.03
)

// ShiftLimiter bounds how fast the requests of one entry VM move between regions, so that a
// shift of load does not land on cold caches all at once. It answers load that jumps
// or collapses within a second.
//
// It keeps a reference share for each region, which follows the regions that
// requests would go to by themselves, at a bounded speed; the counted shares may be
// only a little above. It is safe for concurrent use.
type ShiftLimiter struct {
	mu     sync.Mutex
	origin time.Time
	// reference and preferred are shares of requests by region.
	reference, preferred map[string]float64
	referenceAt          time.Time
	// counts are the requests by region in the steps of the window.
	counts         [windowBuckets]map[string]float64
	newestBucket   int64 // step of the newest count
	suspendedUntil time.Time
}

// NewShiftLimiter returns a pace that begins now, with all requests in one region.
func NewShiftLimiter(now time.Time, region string) *ShiftLimiter {
	return &ShiftLimiter{
		origin: now, referenceAt: now,
		reference: map[string]float64{region: 1}, preferred: map[string]float64{region: 1},
	}
}

// SetInitialShares sets the shares to start from, as long as no request was counted.
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

// Suspend lets requests move freely until the given time, after an outage.
func (p *ShiftLimiter) Suspend(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.suspendedUntil) {
		p.suspendedUntil = until
	}
}

// RecordPlacement notes that a request goes to a region.
func (p *ShiftLimiter) RecordPlacement(now time.Time, region string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bucket := p.advanceWindow(now)
	if p.counts[bucket] == nil {
		p.counts[bucket] = map[string]float64{}
	}
	p.counts[bucket][region]++
}

// RecordPreference notes the region to which a request would go by itself.
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

// Allowed returns a function that tells whether a request may go to a region now.
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
		return counted[region] <= limit // one request more than the limit, for windows with few
	}
}

// advanceReference lets the reference follow the preferences at a bounded speed.
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

// resetReference sets the reference to what was counted, so that the pace goes on from there.
func (p *ShiftLimiter) resetReference(counted map[string]float64, n float64) {
	if n == 0 {
		return
	}
	p.reference, p.preferred = map[string]float64{}, map[string]float64{}
	for region, count := range counted {
		p.reference[region], p.preferred[region] = count/n, count/n
	}
}

// advanceWindow clears what has left the window and returns the place of now.
func (p *ShiftLimiter) advanceWindow(now time.Time) int {
	bucket := max(int64(now.Sub(p.origin)/(shiftWindow/windowBuckets)), p.newestBucket)
	for i := max(p.newestBucket+1, bucket-windowBuckets+1); i <= bucket; i++ {
		p.counts[i%windowBuckets] = nil
	}
	p.newestBucket = bucket
	return int(bucket % windowBuckets)
}

// sumWindow returns the requests by region in the sumWindow, and their sum.
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
