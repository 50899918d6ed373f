package steering

// tables is the immutable index that the request path reads. The classes and services
// that it points to change in place.
type tables struct {
	regions  []string
	classes  map[classKey]*trafficClass
	services map[string]*service
	// byService groups the classes for Steerer.Tick.
	byService map[*service][]*trafficClass
}

// index fills byService.
func (t *tables) index() *tables {
	t.byService = make(map[*service][]*trafficClass, len(t.services))
	for _, c := range t.classes {
		t.byService[c.service] = append(t.byService[c.service], c)
	}
	return t
}

// largestShare returns the largest share that any class of the service has in a region.
func (t *tables) largestShare(svc *service, region int) float64 {
	largest := float32(0)
	for _, c := range t.byService[svc] {
		largest = max(largest, c.shares.Load().effective[region])
	}
	return float64(largest)
}

// resolve returns the most specific class for a request.
func (t *tables) resolve(service, customer, from string) *trafficClass {
	if c := t.classes[classKey{service, customer, from}]; c != nil {
		return c
	}
	if c := t.classes[classKey{service, customer, Wildcard}]; c != nil {
		return c
	}
	if c := t.classes[classKey{service, Wildcard, from}]; c != nil {
		return c
	}
	return t.classes[classKey{service, Wildcard, Wildcard}]
}

// ruleSet holds the target shares of the rules of a configuration.
type ruleSet struct {
	targets map[classKey]vector
}

// target returns the shares of the most specific rule that applies to a class.
func (r *ruleSet) target(k classKey) (vector, bool) {
	for _, candidate := range [...]classKey{
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

// drainedTarget returns the target shares of a rule in percent. The shares of drained
// regions are distributed to the others in proportion to their weights.
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
