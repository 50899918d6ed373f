package placement

import "time"

// passesOverSlow reports whether a request is placed elsewhere although the best upstream that caches its object would
// have room, because that one is slow now.
func (t *Table) passesOverSlow(now time.Time, q *Query, holders *cacheHolders, chosen *upstream) bool {
	home := holders.home(t.self)
	return home != nil && home != chosen && home.recent.slowness.notable(now, q.Slack) > 1 &&
		t.eligible(now, home, q) && t.hasCapacity(now, home, q, tierHolder)
}

// home returns the upstream that an object is assigned to for a VM; nil if there is none.
func (h *cacheHolders) home(self Location) *upstream {
	if h.away && h.remote.upstream != nil {
		return h.remote.upstream
	}
	for _, holder := range h.local[:min(h.copies, len(h.local))] {
		if !h.byDomain || holder.FailureDomain == self.FailureDomain {
			return holder.upstream // they are sorted by their score
		}
	}
	return nil
}

// PassedOverSlow returns the number of requests that were placed elsewhere because the upstream of their object was
// slow.
func (t *Table) PassedOverSlow() uint64 { return t.passedOverSlow }
