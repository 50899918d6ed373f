package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// RegionalOwner passes grants of the leader on to the holders of one region. It is a
// Holder towards the leader and an Owner towards its region, whose caps are what
// the leader granted. It is safe for concurrent use.
type RegionalOwner struct {
	holder *Holder
	owner  *Owner
	clock  clock.Clock
}

// NewRegionalOwner returns a regional owner without grants. The term in OwnerConfig is
// higher for each later regional owner of the same holders. All that it issues was
// granted to itself, so an earlier one of the region needs no wait: to the leader
// the two are different holders.
func NewRegionalOwner(holder HolderConfig, owner OwnerConfig, c clock.Clock) *RegionalOwner {
	owner.NoPredecessor = true
	r := &RegionalOwner{holder: NewHolder(holder, c), owner: NewOwner(owner, c), clock: c}
	r.owner.capsSet, r.owner.leased = true, true
	return r
}

// AddResource takes part in the grants of a resource; rate, burst and units of the cap
// are ignored.
func (r *RegionalOwner) AddResource(c Cap) {
	r.holder.mu.Lock()
	defer r.holder.mu.Unlock()
	for _, s := range r.holder.subleases {
		if s.cap.Resource == c.Resource {
			return
		}
	}
	c.Rate, c.Burst, c.Units = 0, 0, 0
	r.owner.mu.Lock()
	r.owner.setCap(c)
	r.owner.mu.Unlock()
	r.holder.subleases = append(r.holder.subleases, &sublease{owner: r.owner, cap: c})
}

// LeaseEnded reports whether the lease at the leader has ended after it began. Nothing
// is issued or renewed then, and another Region with a higher incarnation and term
// replaces this one: its ledger may count shares whose lease is over, and a new
// leader would take them for grants in force.
func (r *RegionalOwner) LeaseEnded() bool {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.owner.leaseLeft(r.clock.Now())
	return r.owner.ended
}

// NeedsRenewal reports whether a renewal at the leader is due.
func (r *RegionalOwner) NeedsRenewal() bool { return !r.LeaseEnded() && r.holder.NeedsRenewal() }

// BuildRequest returns the next renewal at the leader, nil once the lease has
// ended. It counts for as many holders as the region has.
func (r *RegionalOwner) BuildRequest() *apipb.RenewRequest {
	if r.LeaseEnded() {
		return nil
	}
	req := r.holder.BuildRequest()
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	req.Weight = float64(max(1, len(r.owner.order)))
	return req
}

// Accept makes the shares of a reply of the leader the caps of the region.
func (r *RegionalOwner) Accept(reply *apipb.RenewReply) error { return r.holder.Accept(reply) }

// Renew answers the renewal of a holder of the region.
func (r *RegionalOwner) Renew(req *apipb.RenewRequest) *apipb.RenewReply {
	return r.owner.Renew(req, true)
}

// leaseLeft returns the lease that can be given at present. That of a regional
// owner ends within its own lease on clocks up to driftMargin slower.
func (o *Owner) leaseLeft(now clock.Instant) time.Duration {
	if !o.leased {
		return o.cfg.Lease
	}
	left := -now.ElapsedSince(o.leaseEnd)
	o.ended = o.ended || o.granted && left <= 0
	if o.ended {
		return 0
	}
	return min(o.cfg.Lease, time.Duration(float64(left)/(1+driftMargin)))
}
