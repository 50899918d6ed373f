package steering

import (
	"math"
	"sync/atomic"
	"time"
)

// classKey identifies the requests that share one ramp.
type classKey struct{ service, customer, from string }

// vector holds one value per region, indexed by region position.
type vector [MaxRegions]float64

func (v *vector) sum() float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}

// trafficClass holds the ramped shares of one combination of service, customer and
// caller region. Rules with wildcards are expanded to classes, so that adding or
// removing a more specific rule ramps like any other change.
type trafficClass struct {
	key     classKey
	service *service
	current vector
	target  vector
	// orphaned is set when no rule names the class's customer or caller region any more.
	// The class is dropped when it has reached the shares of the rule that now applies to it.
	orphaned bool
	// ramping is true while current differs from target.
	ramping bool
	// ramped is set when the current tick moved the shares.
	ramped bool

	requests       atomic.Uint64
	requestsAtTick uint64
	rate           float64 // requests per second

	shares atomic.Pointer[shares]
}

// shares are the immutable region shares that the request path reads.
type shares struct {
	n int
	// effective is limited by headroom and availability, base by headroom only.
	effective [MaxRegions]float32
	base      [MaxRegions]float32
}

const (
	// classRateWindow is the time constant of class request rates. They only weight the
	// classes of a service against each other, so they may lag.
	classRateWindow = 10 * time.Second
	// minClassRate keeps the shares of an idle service defined.
	minClassRate = 1e-3
	// minLoadRate is the rate below which a class does not affect the load of a region.
	// Such classes are left out of the sums to keep ticks short.
	minLoadRate = 0.01
	// rampEpsilon is the distance in percentage points below which a ramp is complete.
	rampEpsilon = 1e-9
)

// smoothingFactor returns the fraction of a step that a first-order filter with time
// constant tau follows in dt.
func smoothingFactor(dt, tau time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/tau.Seconds())
}

// updateRate updates the request rate; gain is the smoothing factor for dt.
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

// ramp moves the shares in a straight line toward the target, which preserves their
// sum. No region moves by more than points.
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

// raisesStaleRegion reports whether the ramp raises the share of a region without
// recent reports.
func (c *trafficClass) raisesStaleRegion(now time.Duration) bool {
	for i := range c.current {
		if c.target[i] > c.current[i] && c.service.regions[i].stale(now) {
			return true
		}
	}
	return false
}

// addTraffic adds the class's traffic per region under the current limits.
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

// limited returns the shares as fractions: effective is limited by headroom and
// availability, base by headroom only.
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

// publish stores the shares for the request path. An unchanged result is not replaced,
// so an idle Steerer creates no garbage.
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
