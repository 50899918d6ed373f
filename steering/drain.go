package steering

import "slices"

// DrainStatus is the progress of the drain of a region, or of an upstream when
// Upstream is not empty.
type DrainStatus struct {
	Service  string
	Region   string
	Upstream string
	// ShareBefore and ShareNow are fractions of this VM's requests of the service.
	// ShareNow of a region is at most the largest share that any request has there.
	ShareBefore float64
	ShareNow    float64
	InFlight    int
}

// Remaining returns the fraction of the original share that is still sent, from 0 to 1.
func (d DrainStatus) Remaining() float64 {
	if d.ShareBefore <= 0 {
		return 0
	}
	return min(1, d.ShareNow/d.ShareBefore)
}

// Drains returns the progress of all drained regions and leaving upstreams.
func (s *Steerer) Drains() []DrainStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables.Load()
	var out []DrainStatus
	for _, name := range sortedKeys(t.services) {
		svc := t.services[name]
		total := svc.rate()
		for i := range svc.pools {
			if p := svc.pools[i].Load(); p != nil {
				out = p.appendDrains(out, total, t.largestShare(svc, i))
			}
		}
	}
	return out
}

// rate returns the requests per second that are sent to all pools.
func (s *service) rate() float64 {
	sum := 0.0
	for i := range s.pools {
		if p := s.pools[i].Load(); p != nil {
			p.mu.Lock()
			sum += p.rate
			p.mu.Unlock()
		}
	}
	return sum
}

// ratio returns rate/total, 0 when total is not positive.
func ratio(rate, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return rate / total
}

// appendDrains appends the drains of the pool. The measured share of a region lags and
// stays constant once nothing is sent, so largest, the share in force, bounds it.
func (p *Pool) appendDrains(out []DrainStatus, total, largest float64) []DrainStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	inFlight := 0
	for _, id := range sortedKeys(p.members) {
		t := p.members[id]
		inFlight += t.InFlight()
		if t.drained || t.leaving.active() {
			out = append(out, DrainStatus{
				Service: p.service.name, Region: p.name, Upstream: id,
				ShareBefore: t.shareBefore, ShareNow: ratio(t.rate, total), InFlight: t.InFlight(),
			})
		}
	}
	if p.draining {
		out = append(out, DrainStatus{
			Service: p.service.name, Region: p.name,
			ShareBefore: p.shareBefore, ShareNow: min(ratio(p.rate, total), largest), InFlight: inFlight,
		})
	}
	return out
}

// applyDrains applies the configured drains of the region and its upstreams. total is
// the request rate of the service.
func (p *Pool) applyDrains(region bool, upstreams []string, total float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceRate = total
	if region && !p.draining {
		p.shareBefore = ratio(p.rate, total)
	}
	p.draining = region
	for id, t := range p.members {
		drained := slices.Contains(upstreams, id)
		if drained == t.drained {
			continue
		}
		if drained {
			t.recordShareBefore()
		} else {
			p.readmit(t)
		}
		t.drained = drained
	}
	p.limitEjections()
}

// recordShareBefore stores the share that the target has when it begins to leave.
// Pool.mu is held.
func (t *Target) recordShareBefore() { t.shareBefore = ratio(t.rate, t.pool.serviceRate) }
