package placement

// Tiers of a request on an object, best first. An upstream that has the object cached is several
// times as fast, so each object is assigned to few upstreams: a warm upstream in another region
// uses less slot time than a cold one in this region.
const (
	tierHolder       = iota // caches the object, in this region
	tierDomainHolder        // caches it for another failure domain of this region
	tierRemoteHolder        // caches it in another region
	tierLocal               // does not cache it, in this region
	tierRemote              // does not cache it, in another region
)

// cacheHolders are the upstreams that cache one object.
type cacheHolders struct {
	// local are the best upstreams of this region, or the best of each failure domain if domains
	// cache all objects by themselves. The list is short in both cases.
	local []cacheHolder
	// copies is the number of upstreams in local that cache the object.
	copies   int
	byDomain bool
	remote   cacheHolder
	// localUpstreams is the number of upstreams of this region that objects are assigned to.
	localUpstreams int
	// away is set if the object is assigned to the upstream of another region.
	away bool
}

// cacheHolder is an upstream with its score for the object.
type cacheHolder struct {
	*upstream
	score uint64
}

// addLocal considers an upstream of this region.
func (h *cacheHolders) addLocal(u *upstream, score uint64) {
	if h.byDomain {
		h.addDomain(u, score)
		return
	}
	at := len(h.local)
	for at > 0 && score > h.local[at-1].score {
		at--
	}
	if at == maxCopies {
		return
	}
	if len(h.local) < maxCopies {
		h.local = append(h.local, cacheHolder{})
	}
	copy(h.local[at+1:], h.local[at:])
	h.local[at] = cacheHolder{u, score}
}

// addDomain considers an upstream as the best one of its failure domain.
func (h *cacheHolders) addDomain(u *upstream, score uint64) {
	for i, holder := range h.local {
		if holder.FailureDomain == u.FailureDomain {
			if score > holder.score {
				h.local[i] = cacheHolder{u, score}
			}
			return
		}
	}
	h.local = append(h.local, cacheHolder{u, score})
}

// retainDomains removes the failure domains that are not self-sufficient.
func (h *cacheHolders) retainDomains(selfSufficient func(domain string) bool) {
	retained := h.local[:0]
	for _, holder := range h.local {
		if selfSufficient(holder.FailureDomain) {
			retained = append(retained, holder)
		}
	}
	h.local, h.copies = retained, len(retained)
}

// addRemote considers an upstream of another region.
func (h *cacheHolders) addRemote(u *upstream, score uint64) {
	if h.remote.upstream == nil || score > h.remote.score {
		h.remote = cacheHolder{u, score}
	}
}

// tierOf returns the tier of an upstream for a VM. If failure domains cache all objects by
// themselves, the domain of the VM comes first, which avoids traffic between domains.
func (h *cacheHolders) tierOf(u *upstream, self Location) int {
	if h.away && h.remote.upstream != nil {
		return h.awayTierOf(u)
	}
	for _, holder := range h.local[:min(h.copies, len(h.local))] {
		switch {
		case holder.upstream != u:
		case h.byDomain && u.FailureDomain != self.FailureDomain:
			return tierDomainHolder
		default:
			return tierHolder
		}
	}
	switch {
	case h.remote.upstream == u:
		return tierRemoteHolder
	case u.local:
		return tierLocal
	}
	return tierRemote
}

// awayTierOf does the same for an object that is assigned to another region.
func (h *cacheHolders) awayTierOf(u *upstream) int {
	switch {
	case u == h.remote.upstream:
		return tierHolder
	case u.local:
		return tierLocal
	}
	return tierRemote
}
