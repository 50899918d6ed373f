package steering

import (
	"math"
	"sync/atomic"
	"time"
)

// leafKey names the requests that share one ramp.
type leafKey struct{ service, customer, from string }

type vector [MaxRegions]float64

func (v *vector) sum() float64 {
	total := 0.0
	for _, x := range v {
		total += x
	}
	return total
}

// leaf holds the ramped shares of one (service, customer, caller region). Rules
// with wildcards are expanded to leaves, so that adding or removing a more
// specific rule ramps like any other change.
type leaf struct {
	key     leafKey
	service *service
	current vector
	target  vector
	// orphan marks a leaf whose customer no rule names any more. It is dropped
	// when it has reached the shares of the rule that now covers it.
	orphan bool
	// moving is false when current equals target.
	moving bool
	// moved is set when the present tick ramped the leaf.
	moved bool

	picked     atomic.Uint64
	pickedSeen uint64
	rate       float64 // requests per second

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
	// rateWindow is the time constant of request rates. They only weigh the leaves
	// of a service against each other, so they may lag.
	rateWindow = 10 * time.Second
	// minLeafRate keeps the shares of a service defined while it is idle.
	minLeafRate = 1e-3
	// activeRate is below what matters for the load of a region; leaves below it
	// are left out of the sums to keep ticks short.
	activeRate = 0.01
	// arrived is the distance in percentage points below which a ramp has ended.
	arrived = 1e-9
)

// smoothing returns the part of a step that a first-order filter with time
// constant tau takes in dt.
func smoothing(dt, tau time.Duration) float64 {
	return 1 - math.Exp(-dt.Seconds()/tau.Seconds())
}

// measure updates the rate; gain is the filter's step for dt.
func (l *leaf) measure(dt time.Duration, gain float64) {
	if dt <= 0 {
		return
	}
	picked := l.picked.Load()
	now := float64(picked-l.pickedSeen) / dt.Seconds()
	l.pickedSeen = picked
	l.rate += (now - l.rate) * gain
}

func (l *leaf) weight() float64 { return max(l.rate, minLeafRate) }

// ramp moves the shares on a straight line toward the target, so that their sum
// is kept and no region moves by more than points.
func (l *leaf) ramp(points float64) {
	distance := 0.0
	for i := range l.current {
		distance = max(distance, math.Abs(l.target[i]-l.current[i]))
	}
	if distance <= max(points, arrived) {
		l.current, l.moving = l.target, false
		return
	}
	for i := range l.current {
		l.current[i] += (l.target[i] - l.current[i]) * points / distance
	}
}

func (l *leaf) aim(target vector) {
	l.target = target
	l.moving = l.current != target
}

// entersStale reports whether the ramp raises a region whose reports stopped.
func (l *leaf) entersStale(now time.Duration) bool {
	for i := range l.current {
		if l.target[i] > l.current[i] && l.service.regions[i].stale(now) {
			return true
		}
	}
	return false
}

// addFlow adds the leaf's traffic per region under the present limits.
func (l *leaf) addFlow(flow *vector, regions int) {
	sum := 0.0
	for i := range regions {
		sum += l.current[i] * l.service.regions[i].factor()
	}
	if sum <= 0 {
		return
	}
	scale := l.weight() / sum
	for i := range regions {
		flow[i] += l.current[i] * l.service.regions[i].factor() * scale
	}
}

// limited returns the shares as fractions, limited by headroom and availability,
// and by headroom only.
func (l *leaf) limited(regions int) (effective, base vector) {
	baseSum, effectiveSum := 0.0, 0.0
	for i := range regions {
		base[i] = l.current[i] * l.service.regions[i].limit
		effective[i] = base[i] * l.service.regions[i].availability
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
func (l *leaf) publish(regions int) {
	effective, base := l.limited(regions)
	next := shares{n: regions}
	for i := range regions {
		next.effective[i] = float32(effective[i])
		next.base[i] = float32(base[i])
	}
	if old := l.shares.Load(); old == nil || *old != next {
		l.shares.Store(&next)
	}
}
