package steering

import "github.com/juju/errors"

// SetUpstreams applies the platform's upstream list. An upstream that is missing from
// it gets no new requests. An empty list is rejected with ErrEmptyUpstreams while any
// upstream is known.
func (s *Steerer) SetUpstreams(list []Upstream) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) == 0 && len(s.targets) > 0 {
		return ErrEmptyUpstreams
	}
	if err := s.indexRegions(upstreamRegions(list)); err != nil {
		return errors.Trace(err)
	}
	old := s.tables.Load()
	next := s.nextTables(old)
	next.classes = old.classes
	initial := len(s.targets) == 0
	listed := make(map[string]bool, len(list))
	changedPools := make(map[*Pool]bool)
	for _, u := range list {
		listed[u.ID] = true
		changedPools[s.reconcile(next, u, initial)] = true
	}
	for id, t := range s.targets {
		if !listed[id] {
			s.remove(t)
			changedPools[t.pool] = true
		}
	}
	for p := range changedPools {
		p.mu.Lock()
		p.limitEjections()
		p.mu.Unlock()
	}
	s.publishAll(next)
	s.tables.Store(next.index())
	s.applyDrains(next)
	return nil
}

func upstreamRegions(list []Upstream) []string {
	seen := make(map[string]bool)
	var names []string
	for _, u := range list {
		if !seen[u.Region] {
			seen[u.Region] = true
			names = append(names, u.Region)
		}
	}
	return names
}

// reconcile applies one entry of the list and returns its pool. initial is set for the
// first list, whose upstreams need no slow start.
func (s *Steerer) reconcile(next *tables, u Upstream, initial bool) *Pool {
	p := s.pool(next, u)
	t := s.targets[u.ID]
	if t != nil && (t.pool != p || t.info.Address != u.Address) {
		s.remove(t)
		t = nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t == nil {
		t = newTarget(u, p)
		s.targets[u.ID], p.members[u.ID] = t, t
		if !initial {
			t.beginSlowStart(s.now)
		}
	}
	t.slots = u.Slots
	if u.State == UpstreamLeaving && !t.leaving.active() {
		t.recordShareBefore()
	}
	if t.leaving.applyListedState(u.State, s.now) {
		p.readmit(t)
	}
	return p
}

// pool returns the pool of an upstream and creates it if needed.
func (s *Steerer) pool(next *tables, u Upstream) *Pool {
	svc := next.service(u.Service)
	i := s.regionIndex[u.Region]
	p := svc.pools[i].Load()
	if p == nil {
		p = newPool(svc, i, u.Region, s.rng)
		p.now = s.now
		svc.pools[i].Store(p)
	}
	return p
}

// remove removes a target from its pool. Requests in progress finish on it.
func (s *Steerer) remove(t *Target) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.removed = true
	delete(t.pool.members, t.info.ID)
	delete(s.targets, t.info.ID)
	t.pool.rebuild()
}
