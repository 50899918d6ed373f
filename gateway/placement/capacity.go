package placement

import "time"

const (
	// outageSlotFraction is the share of a region's slots whose loss counts as an outage. Planned
	// changes of the list take less at once.
	outageSlotFraction = 0.2
	// outageSuspension is for how long requests move freely after one: until the list shows it
	// and callers have moved.
	outageSuspension = 5 * time.Second
	// spareSlotsFraction is the share of the mean slots of a region from which it takes requests of
	// others; below the mean by chance, as after the loss of a few upstreams, still counts.
	spareSlotsFraction = 0.8
)

// updateCapacity lifts the pace when a region has lost a good part of its slots:
// staying within the pace would leave requests without an upstream then.
func (t *Table) updateCapacity(now time.Time) {
	t.cacheCandidates = map[string]int{}
	for _, u := range t.upstreams {
		if t.isCacheCandidate(u) {
			t.cacheCandidates[u.FailureDomain]++
		}
	}
	slots := t.slotsByRegion()
	if t.lastSlots == nil {
		t.lastSlots = map[string]float64{}
	}
	for region, before := range t.lastSlots {
		if slots[region] < before*(1-outageSlotFraction) {
			t.shiftLimiter.Suspend(now.Add(outageSuspension))
		}
	}
	t.lastSlots = slots
	t.spareSlots = regionsWithSpareSlots(slots)
}

// regionsWithSpareSlots returns the regions that have slots for the requests of others, if all
// regions ask for as much. A region with few slots has none to spare, and objects of
// others would displace its own.
func regionsWithSpareSlots(slots map[string]float64) map[string]bool {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	ample := map[string]bool{}
	for region, n := range slots {
		ample[region] = n*float64(len(slots)) >= total*spareSlotsFraction
	}
	return ample
}

// slotsByRegion returns the slotsByRegion of the upstreams that take requests, by region.
func (t *Table) slotsByRegion() map[string]float64 {
	slots := map[string]float64{}
	for _, u := range t.upstreams {
		if t.isCacheCandidate(u) && !u.ejected {
			slots[u.Region] += float64(u.Slots)
		}
	}
	return slots
}

// InitialShares returns how requests of this VM would be spread over the regions if
// every region asked for as much: what its own region has no room for goes to the
// others by their slots.
func (t *Table) InitialShares() map[string]float64 {
	slots := t.slotsByRegion()
	total := 0.0
	for _, n := range slots {
		total += n
	}
	own := slots[t.self.Region]
	if total == 0 || own == total {
		return map[string]float64{t.self.Region: 1}
	}
	shares := map[string]float64{t.self.Region: min(1, own/(total/float64(len(slots))))}
	for region, n := range slots {
		if region != t.self.Region {
			shares[region] = (1 - shares[t.self.Region]) * n / (total - own)
		}
	}
	return shares
}
