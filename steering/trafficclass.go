package steering

import (
	"math"
	"sync/atomic"
	"time"
)

// classKey names the requests that share one ramp.
type classKey struct{ service, customer, from string }

type vector [MaxRegions]float64

func (v *vector) sum() float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}

// trafficClass holds the ramped shares of one (service, customer, caller region). Rules
// with wildcards are expanded to leaves, so that adding or removing a more
// specific rule ramps like any other change.
type trafficClass struct {
	key     classKey
	service *service
	current vector
	target  vector
	// orphaned marks a leaf whose customer no rule names any more. It is dropped
	// when it has reached the shares of the rule that now covers it.
	orphaned bool
	// ramping is false when current equals target.
	ramping bool
	// ramped is set when the present tick ramped the leaf.
	ramped bool

	requests       atomic.Uint64
	requestsAtTick uint64
	rate           float64 // requests per second

	shares atomic.Pointer[shares]
}

// shares is the immutable result that the request path reads.
type shares struct {
	n int
	// effective is limited by headroom and availability, base by headroom only.
	effective [MaxRegions]float32
	base      [MaxRegions]float32
}

const (
	// classRateWindow is the time constant of request rates. They only weigh the leaves
	// of a service against each other, so they may lag.
	classRateWindow = 10 * time.Second
	// minClassRate keeps the shares of a service defined while it is idle.
	minClassRate = 1e-3
	// minLoadRate is below what matters for the load of a region; leaves below it
	// are left out of the sums to keep ticks short.
	minLoadRate = 0.01
	// rampEpsilon is the distance in percentage points below which a ramp has ended.
	rampEpsilon = 1e-9
)

// smoothingFactor returns the part of a step that a first-order filter with time
// constant tau takes in dt.
func smoothingFactor(dt, tau time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/tau.Seconds())
}

// updateRate updates the rate; gain is the filter's step for dt.
func (c *trafficClass) updateRate(dt time.Duration, gain float64) {
	if dt <= 0 {
		return
	}
	requests := c.requests.Load()
	observed := float64(requests-c.requestsAtTick) / dt.Seconds()
	c.requestsAtTick = requests
	c.rate += (observed - c.rate) * gain
}

func (c *trafficClass) weight() float64 { return max(c.rate, minClassRate) }

// ramp moves the shares on a straight line toward the target, so that their sum
// is kept and no region moves by more than points.
func (c *trafficClass) ramp(points float64) {
	distance := 0.0
	for i := range c.current {
		distance = max(distance, math.Abs(c.target[i]-c.current[i]))
	}
	if distance <= max(points, rampEpsilon) {
		c.current, c.ramping = c.target, false
		return
	}
	for i := range c.current {
		c.current[i] += (c.target[i] - c.current[i]) * points / distance
	}
}

func (c *trafficClass) setTarget(target vector) {
	c.target = target
	c.ramping = c.current != target
}

// raisesStaleRegion reports whether the ramp raises a region whose reports stopped.
func (c *trafficClass) raisesStaleRegion(now time.Duration) bool {
	for i := range c.current {
		if c.target[i] > c.current[i] && c.service.regions[i].stale(now) {
			return true
		}
	}
	return false
}

// addTraffic adds the leaf's traffic per region under the present limits.
func (c *trafficClass) addTraffic(flow *vector, regions int) {
	sum := 0.0
	for i := range regions {
		sum += c.current[i] * c.service.regions[i].weightFactor()
	}
	if sum <= 0 {
		return
	}
	scale := c.weight() / sum
	for i := range regions {
		flow[i] += c.current[i] * c.service.regions[i].weightFactor() * scale
	}
}

// limited returns the shares as fractions, limited by headroom and availability,
// and by headroom only.
func (c *trafficClass) limited(regions int) (effective, base vector) {
	baseSum, effectiveSum := 0.0, 0.0
	for i := range regions {
		base[i] = c.current[i] * c.service.regions[i].limit
		effective[i] = base[i] * c.service.regions[i].availability
		baseSum += base[i]
		effectiveSum += effective[i]
	}
	for i := range regions {
		if baseSum > 0 {
			base[i] /= baseSum
		}
		if effectiveSum > 0 {
			effective[i] /= effectiveSum
		}
	}
	return effective, base
}

// publish makes the shares visible to the request path. An unchanged result is
// not replaced, which keeps an idle Steerer free of garbage.
func (c *trafficClass) publish(regions int) {
	effective, base := c.limited(regions)
	next := shares{n: regions}
	for i := range regions {
		next.effective[i] = float32(effective[i])
		next.base[i] = float32(base[i])
	}
	if old := c.shares.Load(); old == nil || *old != next {
		c.shares.Store(&next)
	}
}
