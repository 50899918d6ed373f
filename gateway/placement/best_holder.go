package placement

import "time"

// bestHolder returns the upstreams that rank would return, the best one in the regions that the shift limiter allows
// and the best one in any region, if they certainly are: both cache the object, are not degraded, have capacity and cost
// less than any that does not cache it. It returns nil if all upstreams have to be ranked, which takes several times
// as long.
func (t *Table) bestHolder(now time.Time, q *Query, holders *cacheHolders, allowed func(string) bool) (best, unlimited *upstream) {
	var bestKey, unlimitedKey sortKey
	consider := func(u *upstream) {
		if u == nil || !t.eligible(now, u, q) {
			return
		}
		key := t.sortKeyOf(now, u, q, holders)
		if key.degraded || key.rejectionLevel > 0 || key.cost >= tierCosts[tierLocal] || !t.hasCapacity(now, u, q, key.tier) {
			return
		}
		if unlimited == nil || key.before(unlimitedKey) {
			unlimited, unlimitedKey = u, key
		}
		if (best == nil || key.before(bestKey)) && allowed(u.Region) {
			best, bestKey = u, key
		}
	}
	for _, holder := range holders.local {
		consider(holder.upstream)
	}
	consider(holders.remote.upstream)
	if best == nil {
		return nil, nil
	}
	return best, unlimited
}
