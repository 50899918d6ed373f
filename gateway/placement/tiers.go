package placement

// Tiers for a request on an object. An upstream that handled the object lately is
// several times as fast, so each object keeps to few upstreams: going far to a warm
// one takes less of the slots than going near to a cold one.
const (
	tierHolder       = iota // keeps the object, in this region
	tierDomainHolder        // keeps it for another failure domain of this region
	tierRemoteHolder        // keeps it in another region
	tierLocal               // does not keep it, in this region
	tierRemote              // does not keep it, in another region
)

// cacheHolders are the upstreams that keep one object.
type cacheHolders struct {
	// local are the best upstreams of this region, or the best of each failure domain if
	// domains keep objects by themselves. There are few of either.
	local []cacheHolder
	// copies is how many of near keep the object.
	copies   int
	byDomain bool
	remote   cacheHolder
}

// cacheHolder is an upstream with its score for the object.
type cacheHolder struct {
	*upstream
	score uint64
}

// addLocal takes in an upstream of this region.
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

// retainDomains leaves out the failure domains that do not keep objects by themselves.
func (t *cacheHolders) retainDomains(selfSufficient func(domain string) bool) {
	kept := t.local[:0]
	for _, k := range t.local {
		if selfSufficient(k.FailureDomain) {
			kept = append(kept, k)
		}
	}
	t.local, t.copies = kept, len(kept)
}

// addRemote takes in an upstream of another region.
func (t *cacheHolders) addRemote(u *upstream, score uint64) {
	if t.remote.upstream == nil || score > t.remote.score {
		t.remote = cacheHolder{u, score}
	}
}

// tierOf returns the tier tierOf an upstream for a VM. Where failure domains keep objects by
// themselves, few bytes pass between them: that tierOf the VM comes first.
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
