package placement

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

// tiers are the upstreams that keep one object.
type tiers struct {
	// near are the best upstreams of this region, or the best of each failure domain if
	// domains keep objects by themselves. There are few of either.
	near []keeper
	// copies is how many of near keep the object.
	copies   int
	byDomain bool
	away     keeper
}

// keeper is an upstream with its score for the object.
type keeper struct {
	*upstream
	score uint64
}

// addNear takes in an upstream of this region.
func (t *tiers) addNear(u *upstream, score uint64, byDomain bool) {
	t.byDomain = byDomain
	if byDomain {
		t.addDomain(u, score)
		return
	}
	at := len(t.near)
	for at > 0 && score > t.near[at-1].score {
		at--
	}
	if at == maxCopies {
		return
	}
	if len(t.near) < maxCopies {
		t.near = append(t.near, keeper{})
	}
	copy(t.near[at+1:], t.near[at:])
	t.near[at] = keeper{u, score}
}

func (t *tiers) addDomain(u *upstream, score uint64) {
	for i, k := range t.near {
		if k.FailureDomain == u.FailureDomain {
			if score > k.score {
				t.near[i] = keeper{u, score}
			}
			return
		}
	}
	t.near = append(t.near, keeper{u, score})
}

// dropDomains leaves out the failure domains that do not keep objects by themselves.
func (t *tiers) dropDomains(keeps func(domain string) bool) {
	kept := t.near[:0]
	for _, k := range t.near {
		if keeps(k.FailureDomain) {
			kept = append(kept, k)
		}
	}
	t.near, t.copies = kept, len(kept)
}

// addAway takes in an upstream of another region.
func (t *tiers) addAway(u *upstream, score uint64) {
	if t.away.upstream == nil || score > t.away.score {
		t.away = keeper{u, score}
	}
}

// of returns the tier of an upstream for a VM. Where failure domains keep objects by
// themselves, few bytes pass between them: that of the VM comes first.
func (t *tiers) of(u *upstream, self Location) int {
	for _, k := range t.near[:min(t.copies, len(t.near))] {
		switch {
		case k.upstream != u:
		case t.byDomain && u.FailureDomain != self.FailureDomain:
			return tierBeside
		default:
			return tierKept
		}
	}
	switch {
	case t.away.upstream == u:
		return tierAway
	case u.Region == self.Region:
		return tierNear
	}
	return tierOther
}
