package placement

import "time"

// sortKey is how well an upstream fits a request; smaller fits better.
type sortKey struct {
	tier     int
	degraded bool
	score    float64
}

func (a sortKey) before(b sortKey) bool {
	switch {
	case a.degraded != b.degraded:
		return b.degraded
	case a.tier != b.tier:
		return a.tier < b.tier
	}
	return a.score < b.score
}

// tierMaxUtilization is the share of an upstream's slots that may be in use when a request
// comes whose object it does not keep for this region. A request on an object that
// an upstream does not keep takes several times as long and displaces other
// objects; if it did so under full load, all upstreams would end up cold for most
// of their requests and the load would stay too high.
var tierMaxUtilization = [...]float64{tierHolder: 1, tierDomainHolder: 1, tierRemoteHolder: 1, tierLocal: 0.2, tierRemote: 0.1}

// restrictedMaxUtilization is the share of an upstream's slots that requests from other regions may
// bring it to if they are bound to its region. They can go nowhere else, but without a
// bound all callers of a bound customer would displace those of a region with few slots.
const restrictedMaxUtilization = 0.5

// cacheHoldersOf returns the upstreams that keep the object of a request with their
// tiers, or nil for a request without one.
func (t *Table) cacheHoldersOf(now time.Time, q *Query) *cacheHolders {
	if q.Object == 0 {
		return nil
	}
	if !q.counted {
		q.counted = true
		t.objects.record(now, q.Object)
	}
	var found cacheHolders
	selfSufficient := t.updateSelfSufficient(t.self.FailureDomain)
	localUpstreams := 0
	for _, u := range t.upstreams {
		switch {
		case !t.isCacheCandidate(u) || !q.allows(u.Region):
		case u.Region == t.self.Region:
			localUpstreams++
			found.addLocal(u, u.score(q.Object), selfSufficient)
		case len(q.Regions) > 0 || t.spareSlots[u.Region]:
			found.addRemote(u, u.score(q.Object))
		}
	}
	if selfSufficient {
		found.retainDomains(t.updateSelfSufficient)
	} else {
		found.copies = min(t.copies(localUpstreams), localUpstreams)
	}
	return &found
}

// updateSelfSufficient reports whether the upstreams of a failure domain have memory for all
// objects, by themselves. It changes only when the estimate of objects does clearly.
func (t *Table) updateSelfSufficient(domain string) bool {
	memory, count := float64(t.cacheCandidates[domain]*domainObjectsPerUpstream), t.objects.count()
	selfSufficient, known := t.selfSufficient[domain]
	switch {
	case known && selfSufficient:
		count /= domainHysteresis
	case known:
		count *= domainHysteresis
	}
	t.selfSufficient[domain] = memory >= count
	return t.selfSufficient[domain]
}

// isCacheCandidate reports whether an upstream counts for where objects are kept. Short
// troubles do not move objects.
func (t *Table) isCacheCandidate(u *upstream) bool {
	return u.usable() && !t.evacuated[u.FailureDomain]
}

// copies returns how many upstreams of the region keep one object: as many as they
// have memory for, so that one that is full has a substitute that is warm.
func (t *Table) copies(upstreams int) int {
	return min(max(int(float64(upstreams*cachedObjectsPerUpstream)/t.objects.count()), 1), maxCopies)
}

func (t *Table) sortKeyOf(now time.Time, u *upstream, q *Query, holders *cacheHolders) sortKey {
	key := sortKey{degraded: u.degraded(now)}
	if q.Object == 0 {
		key.tier = t.proximityTier(u)
		key.score = u.load(now) / float64(max(u.Slots, 1))
		return key
	}
	key.tier = holders.tierOf(u, t.self)
	key.score = -float64(u.score(q.Object) >> 11)
	return key
}

// proximityTier is 0 in the failure domain of this VM, 1 in its region, 2 beyond.
func (t *Table) proximityTier(u *upstream) int {
	switch {
	case u.FailureDomain == t.self.FailureDomain:
		return 0
	case u.Region == t.self.Region:
		return 1
	}
	return 2
}
