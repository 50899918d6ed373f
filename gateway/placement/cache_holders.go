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
}

// cacheHolder is an upstream with its score for the object.
type cacheHolder struct {
	*upstream
	score uint64
}

// addLocal considers an upstream of this region.
func (t *cacheHolders) addLocal(u *upstream, score uint64, byDomain bool) {
	t.byDomain = byDomain
	if byDomain {
		t.addDomain(u, score)
		return
	}
	at := len(t.local)
	for at > 0 && score > t.local[at-1].score {
		at--
	}
	if at == maxCopies {
		return
	}
	if len(t.local) < maxCopies {
		t.local = append(t.local, cacheHolder{})
	}
	copy(t.local[at+1:], t.local[at:])
	t.local[at] = cacheHolder{u, score}
}

// addDomain considers an upstream as the best one of its failure domain.
func (t *cacheHolders) addDomain(u *upstream, score uint64) {
	for i, k := range t.local {
		if k.FailureDomain == u.FailureDomain {
			if score > k.score {
				t.local[i] = cacheHolder{u, score}
			}
			return
		}
	}
	t.local = append(t.local, cacheHolder{u, score})
}

// retainDomains removes the failure domains that are not self-sufficient.
func (t *cacheHolders) retainDomains(selfSufficient func(domain string) bool) {
	kept := t.local[:0]
	for _, k := range t.local {
		if selfSufficient(k.FailureDomain) {
			kept = append(kept, k)
		}
	}
	t.local, t.copies = kept, len(kept)
}

// addRemote considers an upstream of another region.
func (t *cacheHolders) addRemote(u *upstream, score uint64) {
	if t.remote.upstream == nil || score > t.remote.score {
		t.remote = cacheHolder{u, score}
	}
}

// tierOf returns the tier of an upstream for a VM. If failure domains cache all objects by
// themselves, the domain of the VM comes first, which avoids traffic between domains.
func (t *cacheHolders) tierOf(u *upstream, self Location) int {
	for _, k := range t.local[:min(t.copies, len(t.local))] {
		switch {
		case k.upstream != u:
		case t.byDomain && u.FailureDomain != self.FailureDomain:
			return tierDomainHolder
		default:
			return tierHolder
		}
	}
	switch {
	case t.remote.upstream == u:
		return tierRemoteHolder
	case u.Region == self.Region:
		return tierLocal
	}
	return tierRemote
}
