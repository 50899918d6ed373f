package placement

import (
	"math"
	"time"
)

const (
	// cachedObjectsPerUpstream is for how many objects an upstream counts as warm when copies are
	// chosen. The site files name 13 to 57; upstreams that are asked for more than they
	// keep are cold for most requests, which costs far more than a copy gains.
	cachedObjectsPerUpstream = 12
	// domainObjectsPerUpstream is how many objects each upstream of a failure domain may have to keep
	// if the domain keeps all of them by itself. The mean worth of the standard days of
	// Tama Cuirs was 0.460 with 16, 0.471 with 18 and 0.483 with 20; at 83 VMs a failure
	// domain of 8 upstreams would keep 163 objects with 21, and stay cold for most.
	domainObjectsPerUpstream = 18
	// domainHysteresis is the factor by which the estimate must cross domainKept before a
	// failure domain changes over, since all its objects are cold then. It exceeds the
	// error of the first estimate, a quarter.
	domainHysteresis = 1.3
	// maxCopies bounds the upstreams of a region that keep one object.
	maxCopies = 2
	// objectWindow is how long an object counts after a request on it.
	objectWindow = 10 * time.Second
	// estimateInterval is after how many requests the number of objects is estimated anew.
	// It only bounds the work.
	estimateInterval = 16
	// minRepeats is the number of repeated requests from which the estimate counts:
	// its error is about a quarter then, one over the root of their number.
	minRepeats = 16
	// assumedObjects is taken until then, chosen within the 48 to 440 objects that the
	// site files have for a service. Too few would let a VM that starts spread each
	// object over more upstreams than stay warm for it.
	assumedObjects = 256
	// bisectionSteps halve the interval in which the estimate lies: from up to the square
	// of a few hundred objects to far less than one.
	bisectionSteps = 40
)

// objectEstimator estimates how many different objectEstimator are asked for lately, over all VMs.
// One VM sees only a part of them: the rarer repeats are among its requests, the
// more objectEstimator there are.
type objectEstimator struct {
	seen     map[uint64]struct{}
	requests int
	since    time.Time
	// previousEstimate is the estimate of the span previousEstimate, estimate the one in force.
	previousEstimate, estimate float64
}

// record counts a request on an object.
func (o *objectEstimator) record(now time.Time, object uint64) {
	if o.seen == nil || now.Sub(o.since) >= objectWindow {
		o.previousEstimate = o.estimate
		o.seen, o.requests, o.since = map[uint64]struct{}{}, 0, now
	}
	o.seen[object] = struct{}{}
	o.requests++
	if o.requests-len(o.seen) >= minRepeats && o.requests%estimateInterval == 0 {
		o.estimate = max(o.previousEstimate, estimateObjects(o.requests, len(o.seen)))
	}
}

// count returns the estimate.
func (o *objectEstimator) count() float64 {
	if o.estimate == 0 {
		return assumedObjects
	}
	return o.estimate
}

// estimateObjects returns of how many objects that are asked for equally often the
// given number is seen in so many requests.
func estimateObjects(requests, seen int) float64 {
	n, d := float64(requests), float64(seen)
	low, high := d, d*n // one repeat more than none is expected at about n*n/2 objects
	for range bisectionSteps {
		middle := (low + high) / 2
		if middle*(1-math.Exp(-n/middle)) < d {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
