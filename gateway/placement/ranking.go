package placement

import "time"

// sortKey ranks the upstreams for a request; the smallest key is the best fit.
type sortKey struct {
	tier     int
	degraded bool
	score    float64
	// rejectionLevel and likelyRejected are set for second attempts only.
	rejectionLevel int
	likelyRejected bool
	// cost is the expected cost of a request on an object.
	cost float64
}

func (a sortKey) before(b sortKey) bool {
	switch {
	case a.degraded != b.degraded:
		return b.degraded
	case a.rejectionLevel != b.rejectionLevel:
		return a.rejectionLevel < b.rejectionLevel
	case a.cost != b.cost:
		return a.cost < b.cost
	case a.tier != b.tier:
		return a.tier < b.tier
	}
	return a.score < b.score
}

// tierMaxUtilization is the utilization of an upstream's slots up to which it accepts a request of
// each tier. A request on an object that an upstream has not cached takes several times as long and
// evicts other objects. If upstreams accepted such requests at full load, they would all become
// cold for most of their requests, and the overload would persist.
var tierMaxUtilization = [...]float64{
	tierHolder: 1, tierDomainHolder: 1, tierRemoteHolder: 1, tierLocal: 0.2, tierRemote: 0.1,
}

// restrictedMaxUtilization is the utilization up to which an upstream accepts requests that are restricted
// to its region, if they come from other regions or it has not cached their object. They have no
// alternative, but without a bound the callers of a restricted customer would evict the objects of a region
// with few slots.
const restrictedMaxUtilization = 0.5

// cacheHoldersOf returns the upstreams that cache the object of a request. found is false for a request
// without an object.
func (t *Table) cacheHoldersOf(now time.Time, q *Query) (holders cacheHolders, found bool) {
	if q.Object == 0 {
		return cacheHolders{}, false
	}
	holders = t.holdersByScore(now, q, t.isSelfSufficient(t.self.FailureDomain))
	holders.away = t.isAway(q)
	if holders.byDomain {
		holders.retainDomains(t.isSelfSufficient)
	} else {
		holders.copies = min(t.copies(holders.localUpstreams), holders.localUpstreams)
	}
	return holders, true
}

// holdersByScore returns the upstreams with the best scores for the object of a request. One whose limit,
// pause or pace leaves no room for the request holds nothing.
func (t *Table) holdersByScore(now time.Time, q *Query, byDomain bool) cacheHolders {
	holders := cacheHolders{byDomain: byDomain}
	for _, u := range t.upstreams {
		switch {
		case !u.candidate || !q.allows(u.Region):
		case u.announced != nil && !t.keepsObject(now, u, q.Object) || u.paced != nil && u.pausedFull(now):
		case u.local:
			holders.localUpstreams++
			holders.addLocal(u, u.score(q.Object))
		case len(q.Regions) > 0 || u.acceptsRemote:
			holders.addRemote(u, u.score(q.Object))
		}
	}
	return holders
}

// isSelfSufficient reports whether the upstreams of a failure domain have memory for all objects by
// themselves. It stores the result, which changes only when the object estimate changes by more
// than domainHysteresis.
func (t *Table) isSelfSufficient(domain string) bool {
	memory, count := float64(t.cacheCandidates[domain]*t.domainObjects()), t.homeObjects()
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

// domainObjects is the number of objects per upstream up to which a failure domain caches all of them.
func (t *Table) domainObjects() int {
	if t.planned() && t.responseBytes > 0 && t.responseBytes <= smallResponse {
		return smallDomainObjects
	}
	return domainObjectsPerUpstream
}

// isCacheCandidate reports whether objects are assigned to an upstream. Ejected and degraded
// upstreams remain candidates, so that short failures do not move objects.
func (t *Table) isCacheCandidate(u *upstream) bool {
	return u.usable() && !u.leaving() && !t.evacuated[u.FailureDomain]
}

// copies returns how many upstreams of the region cache one object: as many as their memory allows,
// so that a full upstream has a warm alternative.
func (t *Table) copies(upstreams int) int {
	return min(max(int(float64(upstreams*cachedObjectsPerUpstream)/t.homeObjects()), 1), maxCopies)
}

// sortKeyOf returns the key of an upstream: by load and proximity for a request without an object,
// otherwise by cache tier and rendezvous score.
func (t *Table) sortKeyOf(now time.Time, u *upstream, q *Query, holders *cacheHolders) sortKey {
	key := sortKey{degraded: u.degraded(now)}
	if q.Object == 0 {
		key.tier = t.proximityTier(u)
		key.score = u.load(now) / float64(max(u.Slots, 1))
	} else {
		key.tier = holders.tierOf(u, t.self)
		key.score = -float64(u.score(q.Object) >> 11)
	}
	key.addRecent(now, u, q)
	return key
}

// proximityTier is 0 in the failure domain of this VM, 1 in its region, 2 elsewhere.
func (t *Table) proximityTier(u *upstream) int {
	switch {
	case u.FailureDomain == t.self.FailureDomain:
		return 0
	case u.local:
		return 1
	}
	return 2
}
