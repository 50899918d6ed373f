package placement

import (
	"slices"
	"time"
)

// order is how well an upstream fits a request; smaller fits better.
type order struct {
	tier     int
	degraded bool
	score    float64
}

func (a order) before(b order) bool {
	switch {
	case a.degraded != b.degraded:
		return b.degraded
	case a.tier != b.tier:
		return a.tier < b.tier
	}
	return a.score < b.score
}

// Tiers for a request on an object. An upstream that handled the object lately is
// several times as fast, so each object keeps to few upstreams: going far to a warm
// one takes less of the slots than going near to a cold one.
const (
	tierKept   = iota // keeps the object, in this region
	tierBeside        // keeps it for another failure domain of this region
	tierAway          // keeps it in another region
	tierNear          // does not keep it, in this region
	tierOther         // does not keep it, in another region
)

// ampleShare is the share of the mean slots of a region from which it takes requests of
// others; below the mean by chance, as after the loss of a few upstreams, still counts.
const ampleShare = 0.8

// tierRoom is the share of an upstream's slots that may be in use when a request
// comes whose object it does not keep for this region. A request on an object that
// an upstream does not keep takes several times as long and displaces other
// objects; if it did so under full load, all upstreams would end up cold for most
// of their requests and the load would stay too high.
var tierRoom = [...]float64{tierKept: 1, tierBeside: 1, tierAway: 1, tierNear: 0.2, tierOther: 0.1}

// boundRoom is the share of an upstream's slots that requests from other regions may
// bring it to if they are bound to its region. They can go nowhere else, but without a
// bound all callers of a bound customer would displace those of a region with few slots.
const boundRoom = 0.5

// tiersOf returns the upstreams that keep the object of a request with their
// tiers, or nil for a request without one.
func (t *Table) tiersOf(now time.Time, q *Query) map[*upstream]int {
	if q.Object == 0 {
		return nil
	}
	t.objects.note(now, q.Object)
	var near, away []*upstream
	for _, u := range t.order {
		switch {
		case !t.keeps(u) || !q.allows(u.Region):
		case u.Region == t.self.Region:
			near = append(near, u)
		case len(q.Regions) > 0 || t.ample(u.Region):
			away = append(away, u)
		}
	}
	tiers := map[*upstream]int{}
	byScore := func(a, b *upstream) int {
		switch x, y := a.score(q.Object), b.score(q.Object); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	}
	slices.SortFunc(near, byScore)
	slices.SortFunc(away, byScore)
	t.keepNear(near, tiers)
	for _, u := range away[:min(1, len(away))] {
		tiers[u] = tierAway
	}
	return tiers
}

// ample reports whether a region has slots for the requests of others, if all regions
// ask for as much. A region with few slots has none to spare, and objects of others
// would displace its own.
func (t *Table) ample(region string) bool {
	total := 0.0
	for _, n := range t.capacity {
		total += n
	}
	return t.capacity[region]*float64(len(t.capacity)) >= total*ampleShare
}

// keepNear sets the tiers of the upstreams of this region, best first. Where the
// failure domain of this VM has memory for all objects, it keeps them itself, so that
// few bytes pass between failure domains; else the region keeps them together.
func (t *Table) keepNear(near []*upstream, tiers map[*upstream]int) {
	if !t.domainKeeps(t.self.FailureDomain) {
		for _, u := range near[:min(t.copies(len(near)), len(near))] {
			tiers[u] = tierKept
		}
		return
	}
	seen := map[string]bool{}
	for _, u := range near {
		if seen[u.FailureDomain] || !t.domainKeeps(u.FailureDomain) {
			continue
		}
		seen[u.FailureDomain] = true
		tiers[u] = tierBeside
		if u.FailureDomain == t.self.FailureDomain {
			tiers[u] = tierKept
		}
	}
}

// domainKeeps reports whether the upstreams of a failure domain have memory for all
// objects, by themselves. It changes only when the estimate of objects does clearly.
func (t *Table) domainKeeps(domain string) bool {
	memory, count := float64(t.keepers[domain]*domainKept), t.objects.count()
	apart, known := t.apart[domain]
	switch {
	case known && apart:
		count /= domainBand
	case known:
		count *= domainBand
	}
	t.apart[domain] = memory >= count
	return t.apart[domain]
}

// keeps reports whether an upstream counts for where objects are kept. Short
// troubles do not move objects.
func (t *Table) keeps(u *upstream) bool {
	return u.usable() && !t.closed[u.FailureDomain]
}

// copies returns how many upstreams of the region keep one object: as many as they
// have memory for, so that one that is full has a substitute that is warm.
func (t *Table) copies(upstreams int) int {
	return min(max(int(float64(upstreams*objectsKept)/t.objects.count()), 1), maxCopies)
}

func (t *Table) orderOf(now time.Time, u *upstream, q *Query, tiers map[*upstream]int) order {
	at := order{degraded: u.degraded(now)}
	if q.Object == 0 {
		at.tier = t.distance(u)
		at.score = u.load(now) / float64(max(u.Slots, 1))
		return at
	}
	tier, kept := tiers[u]
	switch {
	case kept:
		at.tier = tier
	case u.Region == t.self.Region:
		at.tier = tierNear
	default:
		at.tier = tierOther
	}
	at.score = -float64(u.score(q.Object) >> 11)
	return at
}

// distance is 0 in the failure domain of this VM, 1 in its region, 2 beyond.
func (t *Table) distance(u *upstream) int {
	switch {
	case u.FailureDomain == t.self.FailureDomain:
		return 0
	case u.Region == t.self.Region:
		return 1
	}
	return 2
}
