package entry

import (
	"time"

	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/steering"
)

// chooser adapts steering to the request path.
type chooser struct {
	steerer *steering.Steerer
	grants  *grants
	targets cowMap[string, *steering.Target] // by upstream ID
}

// Regions appends the regions to try to dst, the preferred one first.
func (c *chooser) Regions(dst []string, q forward.Query) []string {
	order, err := c.steerer.ChooseRegions(steering.Request{
		Service: q.Service, Customer: q.Customer, From: q.From, Idempotent: q.Idempotent,
	})
	if err != nil {
		return dst
	}
	for {
		pool, ok := order.Next()
		if !ok {
			return dst
		}
		dst = append(dst, pool.Region())
	}
}

// maxFullUpstreams bounds the number of upstreams skipped for lack of a free slot.
const maxFullUpstreams = 3

// Pick returns an upstream of the region that is not excluded. It skips upstreams at
// which this VM holds no free slot, since slots are granted per upstream and another
// upstream may have one.
func (c *chooser) Pick(q forward.Query, region string, excluded []string) (forward.Upstream, bool) {
	pool, ok := c.steerer.Pool(q.Service, region)
	if !ok {
		return forward.Upstream{}, false
	}
	var exclusion steering.Exclusion
	for _, id := range excluded {
		if target, ok := c.targets.load(id); ok {
			exclusion.Add(target)
		}
	}
	target, ok := pool.Pick(&exclusion)
	for range maxFullUpstreams {
		if !ok || c.hasFreeSlot(target.Upstream().ID) {
			break
		}
		exclusion.Add(target)
		if other, found := pool.Pick(&exclusion); found {
			target = other
		}
	}
	if !ok {
		return forward.Upstream{}, false
	}
	target.Begin()
	u := target.Upstream()
	c.storeTarget(u.ID, target)
	return forward.Upstream{Name: u.ID, Address: u.Address, Region: u.Region, Handle: target}, true
}

func (c *chooser) hasFreeSlot(id string) bool {
	used, granted := c.grants.slot(id).InUse()
	return used < granted
}

// countRequest adds a request to the retry budget of the service.
func (c *chooser) countRequest(service string) {
	if budget, ok := c.steerer.RetryBudget(service); ok {
		budget.RecordRequest()
	}
}

func (c *chooser) storeTarget(id string, target *steering.Target) {
	if known, ok := c.targets.load(id); !ok || known != target {
		c.targets.store(id, target)
	}
}

// Report passes the outcome of an attempt to steering.
func (c *chooser) Report(_ forward.Query, u forward.Upstream, r forward.Report) {
	if target, ok := u.Handle.(*steering.Target); ok {
		target.Finish(steering.Outcome{Result: steeringResult(r), Latency: r.Elapsed})
	}
}

func steeringResult(r forward.Report) steering.Result {
	if r.Draining {
		return steering.Draining
	}
	switch r.Result {
	case forward.ResultCompleted:
		return steering.Success
	case forward.ResultRejected:
		return steering.Rejected
	case forward.ResultFailed, forward.ResultTimeout:
		return steering.Failure
	}
	return steering.Cancelled
}

// HedgeDelay returns how long to wait before a hedged attempt; 0 disables hedging.
func (c *chooser) HedgeDelay(q forward.Query) time.Duration {
	pool, ok := c.steerer.Pool(q.Service, q.From)
	if !ok {
		return 0
	}
	delay, ok := pool.HedgeDelay()
	if !ok {
		return 0
	}
	return delay
}

// TryRetry takes one attempt beyond the first from the retry budget. It reports
// whether the budget allowed it.
func (c *chooser) TryRetry(service string) bool {
	budget, ok := c.steerer.RetryBudget(service)
	return ok && budget.TryRetry()
}
