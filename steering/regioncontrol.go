package steering

import (
	"math"
	"time"
)

const (
	// highWatermark leaves room for the ramp to move on while a report is under way.
	highWatermark = 0.85
	// lowWatermark is below the high one so that a region between them is left
	// alone; a single threshold makes the limit hunt around it.
	lowWatermark = 0.75
	// reportTimeout is when reports count as stopped. It exceeds the lag of several
	// seconds that reports normally have.
	reportTimeout = 10 * time.Second
	// limitLowerTime and raiseTime are time constants of the limit for measured load.
	// Raising is slower than the report lag of several seconds, so a loop through
	// late reports does not oscillate. Growth that the ramp itself causes is not
	// waited for: it is predicted and cut at once.
	limitLowerTime = 2 * time.Second
	limitRaiseTime = 15 * time.Second
	// staleShrinkTime is the time constant at which headroom shrinks without reports.
	staleShrinkTime = 5 * time.Minute
	// staleLimitFloor bounds that shrinking, relative to the last limit.
	staleLimitFloor = 0.5
	// minLimit keeps the limit recoverable. It is far below any useful share: a
	// limit also has to undo large weights of small regions.
	minLimit = 1e-6
	// regionReturnTime is how long a region takes from no traffic to its full share after
	// it was lost, because its caches are cold. It equals 5 points per second.
	regionReturnTime = 20 * time.Second

	// The history covers reportTimeout. Samples at a wider interval miss where a
	// ramp meets its limit, and the error shows as a ripple of the shares.
	historyLen      = 128
	historyInterval = 100 * time.Millisecond
)

type shareSample struct {
	at    time.Duration
	share float64
}

// publishedFactors are the factors that the publishedFactors shares contain.
type publishedFactors struct{ limit, availability float64 }

// regionControl limits one service in one region. Steerer.mu guards it.
type regionControl struct {
	capacity float64 // requests per second, 0 when unknown

	load       float64
	measuredAt time.Duration
	// measuredShare is the share in force at measuredAt. It is kept because the
	// history may end before reports that stopped resume.
	measuredShare float64
	reported      bool

	limit        float64 // factor on the weights, from minLimit to 1
	staleLimit   float64 // limit when the reports stopped, 0 while they arrive
	availability float64 // 0 while no upstream can be used, then rising to 1
	shedding     bool    // own requests are rejected by the region's upstreams
	published    publishedFactors

	share   float64       // fraction of the service's own traffic
	history []shareSample // ring, allocated at first use
	samples int
}

func (r *regionControl) recordReport(load float64, measuredAt, now time.Duration) {
	if math.IsNaN(load) || load < 0 || (r.reported && measuredAt < r.measuredAt) {
		return
	}
	r.load, r.measuredAt, r.reported = load, measuredAt, true
	r.measuredShare = r.shareAt(measuredAt, now)
}

func (r *regionControl) stale(now time.Duration) bool {
	return r.reported && now-r.measuredAt > reportTimeout
}

// recordShare adds the present share to the history.
func (r *regionControl) recordShare(now time.Duration) {
	if r.samples > 0 && now-r.history[(r.samples-1)%historyLen].at < historyInterval {
		return
	}
	if r.history == nil {
		r.history = make([]shareSample, historyLen)
	}
	r.history[r.samples%historyLen] = shareSample{at: now, share: r.share}
	r.samples++
}

// shareAt returns the share that was in force at the given time, or the oldest
// known one. It interpolates, because a ramp moves between two samples.
func (r *regionControl) shareAt(at, now time.Duration) float64 {
	later := shareSample{at: now, share: r.share}
	for i := r.samples - 1; i >= max(0, r.samples-historyLen); i-- {
		earlier := r.history[i%historyLen]
		if earlier.at <= at {
			return interpolate(earlier, later, at)
		}
		later = earlier
	}
	return later.share
}

func interpolate(earlier, later shareSample, at time.Duration) float64 {
	if at >= later.at {
		return later.share
	}
	progress := float64(at-earlier.at) / float64(later.at-earlier.at)
	return earlier.share + (later.share-earlier.share)*progress
}

// weightFactor is what the weights are multiplied by.
func (r *regionControl) weightFactor() float64 { return r.limit * r.availability }

func (r *regionControl) updateAvailability(usable bool, step time.Duration) {
	if !usable {
		r.availability = 0
		return
	}
	r.availability = min(1, r.availability+step.Seconds()/regionReturnTime.Seconds())
}
