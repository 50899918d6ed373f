package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/demand"
)

const (
	// homeUtilization is the utilization of a region's slots up to which the region serves its own
	// callers although others are used less: a request that stays saves the way to another region.
	homeUtilization = 0.3
	// minUtilization bounds the estimate of the slots in use from below, for the first requests.
	minUtilization = 0.05
	// minPlannedVMs is the number of VMs in a region from which objects are assigned by the demand of
	// all VMs. With fewer, each VM sends to every upstream often enough to know its load, and to see
	// most objects; what does not fit goes elsewhere as it comes.
	minPlannedVMs = 6
	// homeShareWeight is the weight of a new value, once a second, in the moving average of the home
	// share. Each change of the share leaves the objects that move cold.
	homeShareWeight = 0.05
	// objectHashBits is the precision of an object's position in the range of shares.
	objectHashBits = 53
)

// recordDemand counts a request once, although Pick may be called many times while it waits.
func (t *Table) recordDemand(now time.Time, q *Query) {
	if q.counted {
		return
	}
	q.counted = true
	bound := ""
	if len(q.Regions) == 1 {
		bound = q.Regions[0]
	}
	if len(q.Regions) == 0 {
		t.shiftLimiter.RecordArrival(now)
	}
	t.recorder.Record(now, q.Object, bound)
	if q.Object != 0 {
		t.objects.record(now, q.Object)
	}
}

// ReportDemand returns what the callers of this VM ask of the service with the given name.
func (t *Table) ReportDemand(now time.Time, service string) demand.Report {
	return t.recorder.Report(now, service, t.RunningRequests())
}

// SetDemand sets what the callers of each region ask of the service. It is the same for all VMs, so
// that they assign objects to the same upstreams.
func (t *Table) SetDemand(regions map[string]demand.Region) {
	t.demand = regions
	t.updateHomeShare(homeShareWeight)
}

// HomeShare returns the share of objects that are assigned to upstreams of this region.
func (t *Table) HomeShare() float64 { return t.homeShare }

// homeObjects returns the number of objects that are assigned to upstreams of this region.
func (t *Table) homeObjects() float64 {
	objects := t.demand[t.self.Region].Objects
	if objects == 0 || !t.planned() {
		objects = t.objects.count() // of this VM's requests only
	}
	return max(objects*t.homeShare, 1)
}

// planned reports whether objects are assigned by the demand of all VMs.
func (t *Table) planned() bool { return t.regionVMs >= minPlannedVMs }

// suggestedHomeShare returns the home share that the slots and the demand of the regions suggest.
func (t *Table) suggestedHomeShare() float64 {
	if !t.planned() {
		return 1
	}
	return homeShare(t.self.Region, t.lastSlots, t.demand)
}

// updateHomeShare moves the home share toward the suggested one, by the given part of the difference.
// While the demand is unknown, nothing is warm yet and the share follows at once.
func (t *Table) updateHomeShare(weight float64) {
	if len(t.demand) == 0 || !t.planned() {
		weight = 1
	}
	t.homeShare += weight * (t.suggestedHomeShare() - t.homeShare)
}

// homeShare returns the share of a region's requests that its own upstreams serve: as many as make
// its utilization equal to that of all regions, or homeUtilization if that is more. Requests that may
// run in one region only come first there. Regions whose demand is not known yet count as equal.
func homeShare(region string, slots map[string]float64, regions map[string]demand.Region) float64 {
	totalSlots, totalRate, running, known := 0.0, 0.0, 0.0, 0
	for name, n := range slots {
		totalSlots += n
		if d := regions[name]; d.Rate > 0 {
			totalRate += d.Rate
			running += d.Running
			known++
		}
	}
	own := slots[region]
	if totalSlots == 0 || own == totalSlots {
		return 1
	}
	if known < len(slots) || regions[region].Rate == 0 {
		return min(1, own*float64(len(slots))/totalSlots)
	}
	slotTime := running / totalRate // of a request, in seconds
	free, freeTotal, freeRate := 0.0, 0.0, totalRate
	for name, n := range slots {
		left := max(n-regions[name].Bound*slotTime, 0)
		freeTotal += left
		freeRate -= regions[name].Bound
		if name == region {
			free = left
		}
	}
	if freeTotal == 0 || freeRate <= 0 {
		return 1 // no region has room
	}
	fair := free / freeTotal * freeRate / regions[region].Rate
	utilization := max(running/totalSlots, minUtilization)
	return min(1, fair*max(1, homeUtilization/utilization))
}

// isAway reports whether the object of a request is assigned to another region. Which objects are, is
// the same at all VMs of a region, and a small change of the share moves few objects.
func (t *Table) isAway(q *Query) bool {
	if len(q.Regions) > 0 {
		return false
	}
	position := float64(q.Object>>(64-objectHashBits)) / (1 << objectHashBits)
	return position >= t.homeShare
}
