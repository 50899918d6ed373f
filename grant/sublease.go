package grant

import (
	"math"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// earlyRenewalUtilization is the fraction of a grant above which growing demand of a region
// causes an early renewal.
const earlyRenewalUtilization = 0.75

// sublease connects one resource of a RegionalOwner to the leader: the share that the leader
// granted is the cap at the regional owner. It is guarded by the lock of that owner.
type sublease struct {
	owner *Owner
	cap   Cap

	reportedDemand float64 // demand in the last request
	early          earlyRenewal
}

// report returns all that the region may use: the grant, or more as long as holders have not
// acknowledged a reduction of it.
func (s *sublease) report(now clock.Instant) (r report) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.sweep(now)
	p := s.owner.pools[s.cap.Resource]
	p.recomputeSum()
	r.held = portion{
		rate:  roundUp(max(p.cap.Rate, p.sum.rate)),
		depth: roundUp(max(p.cap.Burst, p.sum.depth)),
		units: uint32(min(max(int64(p.cap.Units), p.sum.units), math.MaxUint32)),
	}
	for _, h := range p.holdings {
		r.demand += h.demand
		r.used += max(h.used, h.quarantine)
	}
	s.reportedDemand = r.demand
	s.early.onRequest(now, s.granted())
	return r
}

// apply sets the cap of the region to a share that the leader granted.
func (s *sublease) apply(_ clock.Instant, share portion, leaseEnd clock.Instant, _ bool) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	before := s.granted()
	s.cap.Rate, s.cap.Burst, s.cap.Units = share.rate, share.depth, share.units
	s.owner.setCap(s.cap)
	s.early.onReply(s.granted(), before)
	s.owner.leaseStarted, s.owner.leaseEnd = true, leaseEnd
}

func (s *sublease) granted() float64 {
	if s.cap.Kind == apipb.ResourceKind_RESOURCE_KIND_UNITS {
		return float64(s.cap.Units)
	}
	return s.cap.Rate
}

// wantsRenewal reports whether an early renewal is due, which growing demand close to the grant
// or above it requests.
func (s *sublease) wantsRenewal(now clock.Instant) bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	var demand float64
	for _, h := range s.owner.pools[s.cap.Resource].holdings {
		demand += h.demand
	}
	if demand > s.reportedDemand*(1+demandHysteresis) && demand > earlyRenewalUtilization*s.granted() {
		s.early.request()
	}
	return s.early.due(now)
}

// roundUp returns the smallest float32 that is not below v, so that a report never understates
// what is held.
func roundUp(v float64) float64 {
	f := float32(v)
	if float64(f) < v {
		f = math.Nextafter32(f, math.MaxFloat32)
	}
	return float64(f)
}
