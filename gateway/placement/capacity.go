package placement

import "time"

const (
	// outageSlotFraction is the fraction of a region's slots whose loss counts as an outage.
	// Planned changes of the upstream list remove less at once.
	outageSlotFraction = 0.2
	// outageSuspension is how long the shift limit is suspended after an outage. It covers the time
	// until the upstream list reflects the outage and callers have moved to other regions.
	outageSuspension = 5 * time.Second
	// spareSlotsFraction is the fraction of the mean number of slots per region from which a region
	// accepts requests of other regions. It is below 1 so that a region that lost a few upstreams
	// still qualifies.
	spareSlotsFraction = 0.8
)

// updateCapacity recomputes the capacity by region and suspends the shift limit when a region has
// lost more than outageSlotFraction of its slots: staying within the limit would leave requests
// without an upstream.
func (t *Table) updateCapacity(now time.Time) {
	t.cacheCandidates = map[string]int{}
	for _, u := range t.upstreams {
		u.local, u.candidate = u.Region == t.self.Region, t.isCacheCandidate(u)
		if u.candidate {
			t.cacheCandidates[u.FailureDomain]++
		}
	}
	slots := t.slotsByRegion()
	if t.lastSlots == nil {
		t.lastSlots = map[string]float64{}
	}
	outage := false
	for region, before := range t.lastSlots {
		outage = outage || slots[region] < before*(1-outageSlotFraction)
	}
	t.lastSlots = slots
	spare := regionsWithSpareSlots(slots)
	for _, u := range t.upstreams {
		u.acceptsRemote = spare[u.Region]
	}
	if outage {
		t.shiftLimiter.Suspend(now.Add(outageSuspension))
		t.homeShare = t.suggestedHomeShare() // what a region lost is not served there meanwhile
	}
	t.updateHomeShare(0)
}

// regionsWithSpareSlots returns the regions that have slots for requests of other regions, assuming
// that all regions have the same demand. Requests from elsewhere would evict the cached objects of
// a region with few slots.
func regionsWithSpareSlots(slots map[string]float64) map[string]bool {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	spare := map[string]bool{}
	for region, n := range slots {
		spare[region] = n*float64(len(slots)) >= total*spareSlotsFraction
	}
	return spare
}

// slotsByRegion returns the slots of the upstreams that accept requests.
func (t *Table) slotsByRegion() map[string]float64 {
	slots := map[string]float64{}
	for _, u := range t.upstreams {
		if t.isCacheCandidate(u) && !u.ejected && !u.failing() {
			slots[u.Region] += float64(u.Slots)
		}
	}
	return slots
}

// InitialShares returns how requests of this VM would be distributed over the regions if every
// region had the same demand: what exceeds the slots of its own region goes to the others in
// proportion to their slots.
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
	shares := map[string]float64{t.self.Region: homeShare(t.self.Region, slots, nil)}
	for region, n := range slots {
		if region != t.self.Region {
			shares[region] = (1 - shares[t.self.Region]) * n / (total - own)
		}
	}
	return shares
}
