package steering

import "slices"

// DrainStatus is the progress of one drain: of a region, or of an upstream when
// Upstream is not empty.
type DrainStatus struct {
	Service  string
	Region   string
	Upstream string
	// ShareBefore and ShareNow are fractions of the service's requests from this VM.
	// ShareNow of a region is at most the largest share that any request has there.
	ShareBefore float64
	ShareNow    float64
	InFlight    int
}

// Remaining returns how much of the share is still being sent, from 0 to 1.
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

func ratio(rate, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return rate / total
}

// appendDrains adds what leaves the pool. The region's measured share lags and stays
// as it is once nothing is sent, so the share in force, largest, bounds it.
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

// applyDrains marks what the document drains. total is the service's rate.
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

// recordShareBefore keeps the share that the target has when it begins to leave.
// Pool.mu is held.
func (t *Target) recordShareBefore() { t.shareBefore = ratio(t.rate, t.pool.serviceRate) }
