package placement

import "time"

// warmFraction is the time of a request at an upstream that caches its object, as a fraction of that of
// a cold request.
const warmFraction = 0.3

// tierCosts is the expected cost of a request on an object by tier, as a multiple of its time at an upstream of
// this region that caches the object. A round trip to another region counts as much as the request itself.
var tierCosts = [...]float64{
	tierHolder: 1, tierDomainHolder: 1, tierRemoteHolder: 2, tierLocal: 1 / warmFraction, tierRemote: 1 + 1/warmFraction,
}

// addRecent ranks an upstream by what its latest responses say. A second attempt goes where it is accepted first of
// all, since the retry budget is shared by all requests. A first one on an object goes where its expected cost is
// lowest; without an object, the upstreams of this region are compared by their load, and the cost adds to it.
func (k *sortKey) addRecent(now time.Time, u *upstream, q *Query) {
	if len(q.Tried) > 0 {
		rate := u.recent.rejectionRate(now)
		k.rejectionLevel, k.likelyRejected = int(rate/notableRejectionRate), rate > likelyRejectionRate
	}
	factor := u.recent.costFactor(now, q)
	if q.Object != 0 {
		k.cost = tierCosts[k.tier] * factor
		return
	}
	if factor > 1 {
		k.tier = max(k.tier, 1)
		k.score += factor - 1
	}
}
