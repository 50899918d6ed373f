package steering

import (
	"math"
	"time"
)

const (
	// highWatermark is the load above which the limit is lowered. It leaves headroom for a
	// ramp that continues while a report is in transit.
	highWatermark = 0.85
	// lowWatermark is the load below which the limit is raised. A region between the
	// watermarks is left alone; with a single threshold the limit would oscillate around it.
	lowWatermark = 0.75
	// reportTimeout is the age at which a report is stale. It exceeds the typical report lag
	// of several seconds.
	reportTimeout = 10 * time.Second
	// limitLowerTime and limitRaiseTime are the time constants at which the limit follows
	// measured load. Raising is slower than the report lag of several seconds, so that the
	// control loop does not oscillate on late reports. Load growth that the ramp itself
	// causes is predicted and limited at once.
	limitLowerTime = 2 * time.Second
	limitRaiseTime = 15 * time.Second
	// staleShrinkTime is the time constant at which the limit shrinks without reports.
	staleShrinkTime = 5 * time.Minute
	// staleLimitFloor bounds that shrinking, relative to the limit when the reports stopped.
	staleLimitFloor = 0.5
	// minLimit keeps the limit recoverable. It is far below any useful share, because a
	// limit also has to offset large weights of small regions.
	minLimit = 1e-6
	// regionReturnTime is how long a region takes from no traffic to its full share after
	// an outage, because its caches are cold. It corresponds to 5 percentage points per second.
	regionReturnTime = 20 * time.Second

	// historyLen samples cover reportTimeout. Samples at a wider interval miss the point where a
	// ramp meets its limit, and the error shows as a ripple of the shares.
	historyLen      = 128
	historyInterval = 100 * time.Millisecond
)

// shareSample is the share of a region at one time.
type shareSample struct {
	at    time.Duration
	share float64
}

// publishedFactors are the factors contained in the published shares.
type publishedFactors struct{ limit, availability float64 }

// regionControl limits the traffic of one service to one region. Steerer.mu guards it.
type regionControl struct {
	capacity float64 // requests per second, 0 when unknown

	load       float64
	measuredAt time.Duration
	// measuredShare is the share in force at measuredAt. It is stored because the history
	// may no longer cover that time when reports resume.
	measuredShare float64
	reported      bool

	limit        float64 // factor on the weights, from minLimit to 1
	staleLimit   float64 // limit when the reports stopped, 0 while they are fresh
	availability float64 // 0 while no upstream is usable, then rises to 1
	shedding     bool    // the region's upstreams reject requests of this VM
	published    publishedFactors

	share   float64       // fraction of this VM's traffic of the service
	history []shareSample // ring buffer, allocated on first use
	samples int
}

// recordReport stores a load measurement. Invalid and out-of-order ones are ignored.
func (r *regionControl) recordReport(load float64, measuredAt, now time.Duration) {
	if math.IsNaN(load) || load < 0 || (r.reported && measuredAt < r.measuredAt) {
		return
	}
	r.load, r.measuredAt, r.reported = load, measuredAt, true
	r.measuredShare = r.shareAt(measuredAt, now)
}

// stale reports whether the last report is older than reportTimeout.
func (r *regionControl) stale(now time.Duration) bool {
	return r.reported && now-r.measuredAt > reportTimeout
}

// recordShare adds the current share to the history.
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

// shareAt returns the share in force at the given time, or the oldest known one. It
// interpolates, because a ramp moves between two samples.
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

// weightFactor returns the factor on the weights of the region.
func (r *regionControl) weightFactor() float64 { return r.limit * r.availability }

// updateAvailability sets the availability to 0 when the region is not usable, and
// otherwise raises it to 1 over regionReturnTime.
func (r *regionControl) updateAvailability(usable bool, step time.Duration) {
	if !usable {
		r.availability = 0
		return
	}
	r.availability = min(1, r.availability+step.Seconds()/regionReturnTime.Seconds())
}
