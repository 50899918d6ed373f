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
	targets cowMap[string, *steering.Target] // by upstream id
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

// maxFullPasses is how many upstreams without a free slot are passed over.
const maxFullPasses = 3

// Pick returns an upstream of the region that is not excluded. It passes over
// upstreams of which this VM holds no free slot, since slots are held for each
// upstream and another may have one.
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
	for range maxFullPasses {
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
	c.remember(u.ID, target)
	return forward.Upstream{Name: u.ID, Address: u.Address, Region: u.Region, Handle: target}, true
}

func (c *chooser) hasFreeSlot(id string) bool {
	used, granted := c.grants.slot(id).InUse()
	return used < granted
}

// countRequest feeds the retry budget.
func (c *chooser) countRequest(service string) {
	if budget, ok := c.steerer.RetryBudget(service); ok {
		budget.RecordRequest()
	}
}

func (c *chooser) remember(id string, target *steering.Target) {
	if known, ok := c.targets.load(id); !ok || known != target {
		c.targets.store(id, target)
	}
}

// Report tells steering how an attempt ended.
func (c *chooser) Report(_ forward.Query, u forward.Upstream, r forward.Report) {
	if target, ok := u.Handle.(*steering.Target); ok {
		target.Finish(steering.Outcome{Result: resultOf(r), Latency: r.Elapsed})
	}
}

func resultOf(r forward.Report) steering.Result {
	if r.Draining {
		return steering.Draining
	}
	switch r.Result {
	case forward.ResultAnswered:
		return steering.Success
	case forward.ResultRefused:
		return steering.Rejected
	case forward.ResultFailed, forward.ResultTimeout:
		return steering.Failure
	}
	return steering.Cancelled
}

// HedgeDelay returns how long to wait before a second attempt; 0 means none.
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

// TakeRetry takes one attempt beyond the first from the retry budget.
func (c *chooser) TakeRetry(service string) bool {
	budget, ok := c.steerer.RetryBudget(service)
	return ok && budget.TryRetry()
}
