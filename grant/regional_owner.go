package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// RegionalOwner divides the grants it gets from the leader among the holders of one region. It
// is a Holder towards the leader and an Owner towards its region, with the leader's grants as
// caps. It is safe for concurrent use.
type RegionalOwner struct {
	holder *Holder
	owner  *Owner
	clock  clock.Clock
}

// NewRegionalOwner returns a regional owner without grants. The term in OwnerConfig must increase
// with each regional owner of the same holders. A regional owner needs no grace period after an
// earlier one of its region: it issues only what was granted to itself, and the leader counts the
// two as different holders.
func NewRegionalOwner(holder HolderConfig, owner OwnerConfig, c clock.Clock) *RegionalOwner {
	owner.NoPredecessor = true
	r := &RegionalOwner{holder: NewHolder(holder, c), owner: NewOwner(owner, c), clock: c}
	r.owner.capsSet, r.owner.regional = true, true
	return r
}

// AddResource registers a resource for renewals at the leader. Rate, burst and units of the cap are
// ignored.
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

// LeaseEnded reports whether the lease at the leader began and has ended. Nothing is issued or
// renewed after that, and another RegionalOwner with a higher incarnation and term must replace
// this one: its ledger may count shares whose lease has ended, and a new leader would take them
// for grants in force.
func (r *RegionalOwner) LeaseEnded() bool {
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	r.owner.remainingLease(r.clock.Now())
	return r.owner.leaseEnded
}

// NeedsRenewal reports whether a renewal at the leader is due.
func (r *RegionalOwner) NeedsRenewal() bool { return !r.LeaseEnded() && r.holder.NeedsRenewal() }

// BuildRequest returns the next renewal request to the leader, or nil once the lease has ended.
// Its weight is the number of holders in the region.
func (r *RegionalOwner) BuildRequest() *apipb.RenewRequest {
	if r.LeaseEnded() {
		return nil
	}
	req := r.holder.BuildRequest()
	r.owner.mu.Lock()
	defer r.owner.mu.Unlock()
	req.Weight = float64(max(1, len(r.owner.memberList)))
	return req
}

// Accept sets the caps of the region to the shares in a reply of the leader.
func (r *RegionalOwner) Accept(reply *apipb.RenewReply) error { return r.holder.Accept(reply) }

// Renew answers the renewal request of a holder in the region.
func (r *RegionalOwner) Renew(req *apipb.RenewRequest) *apipb.RenewReply {
	return r.owner.Renew(req, true)
}

// remainingLease returns the longest lease that can be granted now. A lease granted by a regional
// owner ends within its own lease, also on clocks that are up to driftMargin slower.
func (o *Owner) remainingLease(now clock.Instant) time.Duration {
	if !o.regional {
		return o.cfg.Lease
	}
	left := -now.ElapsedSince(o.leaseEnd)
	o.leaseEnded = o.leaseEnded || o.leaseStarted && left <= 0
	if o.leaseEnded {
		return 0
	}
	return min(o.cfg.Lease, time.Duration(float64(left)/(1+driftMargin)))
}
