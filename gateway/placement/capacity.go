package placement

import "time"

const (
	// outageShare is the share of a region's slots whose loss counts as an outage. Planned
	// changes of the list take less at once.
	outageShare = 0.2
	// outageTime is for how long requests move freely after one: until the list shows it
	// and callers have moved.
	outageTime = 5 * time.Second
	// ampleShare is the share of the mean slots of a region from which it takes requests of
	// others; below the mean by chance, as after the loss of a few upstreams, still counts.
	ampleShare = 0.8
)

// watchCapacity lifts the pace when a region has lost a good part of its slots:
// staying within the pace would leave requests without an upstream then.
func (t *Table) watchCapacity(now time.Time) {
	t.keepers = map[string]int{}
	for _, u := range t.order {
		if t.keeps(u) {
			t.keepers[u.FailureDomain]++
		}
	}
	slots := t.slots()
	if t.capacity == nil {
		t.capacity = map[string]float64{}
	}
	for region, before := range t.capacity {
		if slots[region] < before*(1-outageShare) {
			t.pace.Suspend(now.Add(outageTime))
		}
	}
	t.capacity = slots
	t.ample = ampleRegions(slots)
}

// ampleRegions returns the regions that have slots for the requests of others, if all
// regions ask for as much. A region with few slots has none to spare, and objects of
// others would displace its own.
func ampleRegions(slots map[string]float64) map[string]bool {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	ample := map[string]bool{}
	for region, n := range slots {
		ample[region] = n*float64(len(slots)) >= total*ampleShare
	}
	return ample
}

// slots returns the slots of the upstreams that take requests, by region.
func (t *Table) slots() map[string]float64 {
	slots := map[string]float64{}
	for _, u := range t.order {
		if t.keeps(u) && !u.probing {
			slots[u.Region] += float64(u.Slots)
		}
	}
	return slots
}

// InitialShares returns how requests of this VM would be spread over the regions if
// every region asked for as much: what its own region has no room for goes to the
// others by their slots.
func (t *Table) InitialShares() map[string]float64 {
	slots := t.slots()
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
