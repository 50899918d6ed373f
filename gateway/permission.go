package gateway

import (
	"context"
	"slices"
	"time"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/plan"
)

// maxPermissionAge is how long before a request is sent its key, route and rate may have been checked.
// It is below the lease of rates, 3 s, and below the time within which a revoked key stops working.
const maxPermissionAge = 2 * time.Second

// permission is what allows a request to be sent. A process may be paused between the check and the
// sending, and a retry follows seconds after the first attempt.
type permission struct {
	clock     clock.Clock
	checkedAt clock.Instant
	knowledge knowledge
	// run is the run of the process in which the request was checked.
	run uint64
	// rated is set if the request took a token of its customer's rate.
	rated bool
	// stillAllowed reports whether the plan in force allows the request.
	stillAllowed func() bool
}

// expired reports whether the request must not be sent; resent says that it was sent before, with a
// token that counted then. After a pause it waits for what this VM missed, at most until the given time.
func (p *permission) expired(ctx context.Context, until time.Time, resent bool) bool {
	if p.clock == nil {
		return false
	}
	old := p.clock.Now().ElapsedSince(p.checkedAt) > maxPermissionAge
	if run, _ := p.knowledge.Current(); !old && run == p.run {
		return false
	}
	if old && p.rated && !resent {
		return true
	}
	run, current := p.knowledge.Await(ctx, until)
	if !current || !p.stillAllowed() {
		return true
	}
	p.run = run
	return false
}

// interrupted reports whether the process was paused since the request was last checked.
func (p *permission) interrupted() bool {
	if p.knowledge == nil {
		return false
	}
	run, _ := p.knowledge.Current()
	return run != p.run
}

// stillAllowed reports whether the plan in force sends the route of a request to its service for the
// customer that its key belongs to, and allows what the route allowed, in the same regions. A customer that had no rate
// may have got one.
func (r *routedRequest) stillAllowed(index *plan.Index) bool {
	route := index.Route(r.request.Host, r.request.Path)
	if route == nil || !slices.ContainsFunc(route.Split, func(s plan.WeightedService) bool { return s.Service == r.serviceName() }) {
		return false
	}
	if r.route.Idempotent && !route.Idempotent {
		return false
	}
	customer := index.Customer(r.request.Header.Get(r.gateway.cfg.Headers.Key))
	switch {
	case route.Public:
		customer = nil
		if r.customer != nil {
			return false
		}
	case customer == nil:
		if r.customer != nil || index.KeysRequired() {
			return false
		}
	case customer.Name != r.customerName() || isRated(customer) && !r.permission.rated:
		return false
	}
	return slices.Equal(allowedRegions(route, customer), r.query.Regions)
}
