package placement

import "time"

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
func (t *Table) tiersOf(now time.Time, q *Query) *tiers {
	if q.Object == 0 {
		return nil
	}
	if !q.noted {
		q.noted = true
		t.objects.note(now, q.Object)
	}
	var found tiers
	apart := t.domainKeeps(t.self.FailureDomain)
	near := 0
	for _, u := range t.order {
		switch {
		case !t.keeps(u) || !q.allows(u.Region):
		case u.Region == t.self.Region:
			near++
			found.addNear(u, u.score(q.Object), apart)
		case len(q.Regions) > 0 || t.ample[u.Region]:
			found.addAway(u, u.score(q.Object))
		}
	}
	if apart {
		found.dropDomains(t.domainKeeps)
	} else {
		found.copies = min(t.copies(near), near)
	}
	return &found
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

func (t *Table) orderOf(now time.Time, u *upstream, q *Query, kept *tiers) order {
	at := order{degraded: u.degraded(now)}
	if q.Object == 0 {
		at.tier = t.distance(u)
		at.score = u.load(now) / float64(max(u.Slots, 1))
		return at
	}
	at.tier = kept.of(u, t.self)
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
