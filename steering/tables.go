package steering

// tables is the immutable index that the request path reads. The leaves and
// services it points to change in place.
type tables struct {
	regions  []string
	leaves   map[leafKey]*leaf
	services map[string]*service
	// byService lists the leaves for ticks.
	byService map[*service][]*leaf
}

// index fills byService.
func (t *tables) index() *tables {
	t.byService = make(map[*service][]*leaf, len(t.services))
	for _, l := range t.leaves {
		t.byService[l.service] = append(t.byService[l.service], l)
	}
	return t
}

// largestShare returns the largest share that a request of the service has in a region.
func (t *tables) largestShare(svc *service, region int) float64 {
	largest := float32(0)
	for _, l := range t.byService[svc] {
		largest = max(largest, l.shares.Load().effective[region])
	}
	return float64(largest)
}

// resolve returns the most specific leaf for a request.
func (t *tables) resolve(service, customer, from string) *leaf {
	if l := t.leaves[leafKey{service, customer, from}]; l != nil {
		return l
	}
	if l := t.leaves[leafKey{service, customer, Wildcard}]; l != nil {
		return l
	}
	if l := t.leaves[leafKey{service, Wildcard, from}]; l != nil {
		return l
	}
	return t.leaves[leafKey{service, Wildcard, Wildcard}]
}

// ruleSet finds the target of a leaf among the rules of a configuration.
type ruleSet struct {
	targets map[leafKey]vector
}

func (r *ruleSet) target(k leafKey) (vector, bool) {
	for _, candidate := range [...]leafKey{
		k,
		{k.service, k.customer, Wildcard},
		{k.service, Wildcard, k.from},
		{k.service, Wildcard, Wildcard},
	} {
		if v, ok := r.targets[candidate]; ok {
			return v, true
		}
	}
	return vector{}, false
}

// drainedTarget returns the target shares of a rule in percent, given which
// regions are drained. Shares of drained regions go to the others in proportion.
func drainedTarget(weights []Weight, region func(string) int, drained map[string]bool) vector {
	var v, standby vector
	for _, w := range weights {
		if drained[w.Region] {
			continue
		}
		v[region(w.Region)] += w.Percent
		standby[region(w.Region)] = 1
	}
	if v.sum() == 0 {
		v = standby
	}
	sum := v.sum()
	if sum == 0 {
		return v
	}
	for i := range v {
		v[i] *= 100 / sum
	}
	return v
}
