package steering

import "time"

// RegionStatus is the state of one service in one region, for status output and metrics.
type RegionStatus struct {
	Service string
	Region  string
	// Share is the fraction of this VM's requests of the service.
	Share float64
	// Limit is the headroom factor on the region's weights, at most 1.
	Limit float64
	// Load is the predicted load as a fraction of the capacity, valid if Reported.
	Load     float64
	Reported bool
	// Stale is set when the load reports have stopped.
	Stale     bool
	Shedding  bool
	Suspended bool
	InFlight  int
	Upstreams UpstreamCounts
	// Ejections and Suspensions count from the start of the process.
	Ejections   uint64
	Suspensions uint64
	// HedgeDelay is zero while it is unknown.
	HedgeDelay time.Duration
}

// UpstreamCounts counts the upstreams of a region by state. The states are mutually
// exclusive, except that Warming ones are also Eligible.
type UpstreamCounts struct {
	Eligible int
	Warming  int
	Ejected  int
	Leaving  int
}

// Status returns the state of every service in every region that has upstreams.
func (s *Steerer) Status() []RegionStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables.Load()
	var out []RegionStatus
	for _, name := range sortedKeys(t.services) {
		svc := t.services[name]
		demand := svc.fleetDemand(len(t.regions))
		for i := range t.regions {
			if p := svc.pools[i].Load(); p != nil {
				st := p.status()
				svc.regions[i].fill(&st, demand, s.now)
				out = append(out, st)
			}
		}
	}
	return out
}

func (r *regionControl) fill(st *RegionStatus, demand float64, now time.Duration) {
	st.Share, st.Limit = r.share, r.limit
	st.Load, st.Reported = r.predict(demand), r.reported
	st.Stale, st.Shedding = r.stale(now), r.shedding
}

func (p *Pool) status() RegionStatus {
	st := RegionStatus{Service: p.service.name, Region: p.name, Suspended: p.suspended.Load()}
	st.HedgeDelay, _ = p.HedgeDelay()
	p.mu.Lock()
	defer p.mu.Unlock()
	st.Ejections, st.Suspensions = p.ejections, p.suspensions
	for _, t := range p.members {
		st.InFlight += t.InFlight()
		switch {
		case t.drained || t.leaving.active():
			st.Upstreams.Leaving++
		case t.health.ejected:
			st.Upstreams.Ejected++
		default:
			st.Upstreams.Eligible++
			if t.slowStartAt >= 0 {
				st.Upstreams.Warming++
			}
		}
	}
	return st
}
