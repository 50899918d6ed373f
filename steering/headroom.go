package steering

import (
	"math"
	"time"
)

// clampRounds bounds how often shares are recomputed per tick when a limit moves
// traffic to another region that then reaches its own limit.
const clampRounds = 3

// predict estimates the current load of a region: the reported load plus the effect of
// share changes since the measurement (a Smith predictor). Acting on the report alone
// would repeat each correction until the report shows its effect.
func (r *regionControl) predict(demand float64) float64 {
	if r.capacity <= 0 {
		return r.load
	}
	return max(0, r.load+demand*(r.share-r.measuredShare)/r.capacity)
}

// scaleShare returns the factor on a region's weight that scales its share by scale.
// Shares are normalised, so this is the ratio of the odds.
func scaleShare(share, scale float64) float64 {
	scaled := min(share*scale, 0.999)
	if share <= 0 || share >= 1 {
		return 1
	}
	return scaled / (1 - scaled) * (1 - share) / share
}

// fleetDemand estimates the requests per second of the whole fleet from the reports
// and the shares in force at the time of their measurement.
func (s *service) fleetDemand(regions int) float64 {
	load, share := 0.0, 0.0
	for i := range regions {
		r := &s.regions[i]
		if r.reported && r.capacity > 0 {
			load += r.load * r.capacity
			share += r.measuredShare
		}
	}
	if share < 0.01 {
		return 0
	}
	return load / share
}

// watermark returns the high watermark, raised in proportion when the demand exceeds
// it in all regions together. Otherwise regions would push the excess to each other
// and back.
func (s *service) watermark(demand float64, regions int) float64 {
	capacity := 0.0
	for i := range regions {
		r := &s.regions[i]
		if r.share <= 0 {
			continue
		}
		if !r.reported || r.capacity <= 0 {
			return highWatermark
		}
		capacity += r.capacity
	}
	if capacity == 0 {
		return highWatermark
	}
	return max(highWatermark, demand/capacity)
}

// sumTraffic sums the traffic per region of the classes with at least the given rate.
func sumTraffic(classes []*trafficClass, regions int, rate float64) vector {
	var flow vector
	for _, c := range classes {
		if c.rate >= rate {
			c.addTraffic(&flow, regions)
		}
	}
	return flow
}

// measureShares computes the fraction of this VM's traffic of the service that the
// current limits send to each region.
func (s *service) measureShares(classes []*trafficClass, regions int) {
	flow := sumTraffic(classes, regions, minLoadRate)
	total := flow.sum()
	if total == 0 {
		flow = sumTraffic(classes, regions, 0)
		total = flow.sum()
	}
	for i := range regions {
		s.regions[i].share = ratio(flow[i], total)
	}
}

// tickRegions updates the limits and publishes the resulting shares. points is how far
// a share may rise in this step, in percentage points.
func (s *service) tickRegions(classes []*trafficClass, now, step time.Duration, points float64, regions int) {
	demand := s.fleetDemand(regions)
	s.measureShares(classes, regions)
	s.adjust(demand, now, step, points, regions)
	s.measureShares(classes, regions)
	for round := 0; round < clampRounds && s.clamp(demand, regions); round++ {
		s.measureShares(classes, regions)
	}
	s.normalise(regions)
	for i := range regions {
		if r := &s.regions[i]; r.reported || r.share > 0 {
			r.recordShare(now)
		}
	}
	s.publish(classes, regions)
}

// publish publishes changed shares. If no limit or availability changed, only the
// classes that ramped are affected.
func (s *service) publish(classes []*trafficClass, regions int) {
	changed := false
	for i := range regions {
		r := &s.regions[i]
		if p := (publishedFactors{r.limit, r.availability}); p != r.published {
			r.published, changed = p, true
		}
	}
	for _, c := range classes {
		if changed || c.ramped {
			c.publish(regions)
		}
	}
}

// adjust updates the limit of each region from its predicted load and its rejections.
func (s *service) adjust(demand float64, now, step time.Duration, points float64, regions int) {
	watermark := s.watermark(demand, regions)
	for i := range regions {
		r := &s.regions[i]
		load := r.predict(demand)
		if r.shedding {
			// Rejections of this VM's requests outweigh a report of free capacity.
			load = max(load, watermark*sheddingLoad)
		}
		if r.reported || r.shedding || r.limit < 1 {
			r.adjust(load, watermark, now, step, points)
		}
	}
}

// clamp lowers limits so that share changes do not raise a region's load above the
// watermark, or above its reported load where that is higher. It reports whether it
// changed a limit.
func (s *service) clamp(demand float64, regions int) bool {
	changed := false
	watermark := s.watermark(demand, regions)
	for i := range regions {
		r := &s.regions[i]
		if !r.reported {
			continue
		}
		ceiling := max(watermark, r.load)
		if load := r.predict(demand); load > ceiling {
			r.limit = max(minLimit, r.limit*scaleShare(r.share, ceiling/load))
			changed = true
		}
	}
	return changed
}

// normalise scales the limits so that the largest is 1. Only their ratios matter, and
// an overload of all regions would drive all limits down to minLimit.
func (s *service) normalise(regions int) {
	highest := 0.0
	for i := range regions {
		highest = max(highest, s.regions[i].limit)
	}
	for i := range regions {
		s.regions[i].limit /= highest
	}
}

// adjust lowers or raises the limit according to the predicted load.
func (r *regionControl) adjust(load, watermark float64, now, step time.Duration, points float64) {
	stale := r.updateStaleLimit(now)
	switch {
	case load > watermark:
		r.limit *= scaleShare(r.share, 1-(1-watermark/load)*smoothingFactor(step, limitLowerTime))
	case stale:
		shrunk := r.limit * math.Exp(-step.Seconds()/staleShrinkTime.Seconds())
		r.limit = max(min(r.limit, r.staleLimit*staleLimitFloor), shrunk)
	case load < lowWatermark && r.limit < 1:
		scale := 1 + (lowWatermark/max(load, 0.01)-1)*smoothingFactor(step, limitRaiseTime)
		// Caches are as cold as after a change of weights, so the ramp pace applies.
		scale = min(scale, 1+points/100/max(r.share, 1e-3))
		r.limit = min(1, r.limit*scaleShare(r.share, scale))
	}
	r.limit = max(r.limit, minLimit)
}

// updateStaleLimit records the limit at which the reports stopped and reports whether
// they are stale.
func (r *regionControl) updateStaleLimit(now time.Duration) bool {
	switch {
	case !r.stale(now):
		r.staleLimit = 0
		return false
	case r.staleLimit == 0:
		r.staleLimit = r.limit
	}
	return true
}
