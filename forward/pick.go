package forward

import (
	"context"
	"slices"
	"time"

	"pistachiomount.example/pistachiomount/forward/reject"
)

const (
	// maxPicks limits the upstreams tried for a slot in one region.
	maxPicks = 4
	// maxCapacityWait limits how long the first attempt waits for a slot and a region
	// grant. While shares move to where demand arrives, a VM may hold slots at other
	// upstreams than those chosen; a renewal brings the missing ones in about 200 ms.
	maxCapacityWait = 500 * time.Millisecond
	// capacityPollInterval is the time between two checks for free capacity.
	capacityPollInterval = 20 * time.Millisecond
)

// pickWithWait picks an upstream for the first attempt of a request and waits for capacity
// for part of the remaining time.
func (x *exchange) pickWithWait() (*attempt, *reject.Rejection) {
	until := time.Now().Add(min(maxCapacityWait, time.Until(x.deadline)/4))
	for {
		a, rejection := x.pick(nil)
		if rejection == nil || time.Now().Add(capacityPollInterval).After(until) {
			return a, rejection
		}
		select {
		case <-x.ctx.Done():
			return nil, x.rejectionFor(context.Cause(x.ctx))
		case <-time.After(capacityPollInterval):
		}
	}
}

// pick takes a region grant, an upstream and one of its slots. The excluded upstreams were
// already tried by this request.
func (x *exchange) pick(excluded []string) (*attempt, *reject.Rejection) {
	var buf [4]string
	q := x.query
	for _, region := range x.h.cfg.Chooser.Regions(buf[:0], q) {
		reservation, ok := x.h.cfg.Regions.TryTake(region, q.Service)
		if !ok {
			continue
		}
		if u, ok := x.pickInRegion(q, region, excluded); ok {
			return newAttempt(x, u, region, reservation), nil
		}
		x.h.cfg.Regions.Refund(region, q.Service, reservation)
	}
	r := reject.New(reject.OverCapacity, "no region has capacity left").WithRetryAfter(retrySoon)
	if x.sent {
		r.Run = reject.Unknown
	}
	return nil, r
}

func (x *exchange) pickInRegion(q Query, region string, excluded []string) (Upstream, bool) {
	unavailable := slices.Clip(excluded)
	for range maxPicks {
		u, ok := x.h.cfg.Chooser.Pick(q, region, unavailable)
		if !ok {
			return Upstream{}, false
		}
		if x.h.cfg.Slots.TryAcquire(u.Name) {
			return u, true
		}
		x.h.cfg.Chooser.Report(q, u, Report{Result: ResultUnused})
		unavailable = append(unavailable, u.Name)
	}
	return Upstream{}, false
}
