package placement

import (
	"math"
	"time"
)

const (
	// cachedObjectsPerUpstream is the number of cached objects per upstream that the number of
	// copies is based on. Site files configure 13 to 57; upstreams that are asked for more objects
	// than they cache are cold for most requests, which costs far more than a second copy gains.
	cachedObjectsPerUpstream = 12
	// domainObjectsPerUpstream is the number of objects per upstream up to which a failure domain
	// caches all objects by itself. With 21, a failure domain of 8 upstreams in a deployment of 83
	// VMs would cache 163 objects by itself and stay cold for most of them.
	domainObjectsPerUpstream = 18
	// smallDomainObjects is the same for services with small responses: to take them from another
	// failure domain costs less than the first request on each object in each domain, which is slow.
	smallDomainObjects = 9
	// smallResponse is the mean length of responses, in bytes, up to which they count as small.
	smallResponse = 4 << 10
	// responseBytesWeight is the weight of one response in the moving average of their length.
	responseBytesWeight = 0.02
	// domainHysteresis is the factor by which the object estimate must cross the capacity of a
	// failure domain before the domain switches between caching all objects and sharing them, since
	// the switch leaves all its objects cold. It exceeds the error of the first estimate, which is
	// about a quarter.
	domainHysteresis = 1.3
	// maxCopies bounds the upstreams of a region that cache one object.
	maxCopies = 2
	// objectWindow is the length of the window in which distinct objects are counted.
	objectWindow = 10 * time.Second
	// estimateInterval is the number of requests between two estimates. It bounds the CPU time.
	estimateInterval = 16
	// minRepeats is the number of repeated requests from which an estimate is used. Its relative
	// error is one over the square root of their number, here about a quarter.
	minRepeats = 16
	// assumedObjects is used until the first estimate. Site files have 48 to 440 objects per
	// service; too small a value would make a VM that starts spread each object over more upstreams
	// than can keep it cached.
	assumedObjects = 256
	// bisectionSteps is the number of halvings of the search interval, from the square of a few
	// hundred objects to far less than one.
	bisectionSteps = 40
)

// objectEstimator estimates how many distinct objects are requested over all VMs. One VM sees only
// a part of the requests: the rarer the repeats among them, the more objects there are.
type objectEstimator struct {
	seen     map[uint64]struct{}
	requests int
	since    time.Time
	// previousEstimate is the estimate of the previous window, estimate the current one.
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

// count returns the estimated number of objects.
func (o *objectEstimator) count() float64 {
	if o.estimate == 0 {
		return assumedObjects
	}
	return o.estimate
}

// estimateObjects returns the number of equally popular objects for which the given number of
// requests is expected to touch the given number of distinct objects.
func estimateObjects(requests, seen int) float64 {
	n, d := float64(requests), float64(seen)
	low, high := d, d*n // at about n*n/2 objects, one repeat is expected
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
