package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/grant"
)

// maxLinkWait bounds one wait for link tokens, after which the share is looked
// at again: a renewal may have changed it.
const maxLinkWait = 50 * time.Millisecond

// admitter is the customers' rate on the request path.
type admitter struct{ *grants }

// TryTake takes one request from the customer's rate.
func (a admitter) TryTake(customer string) (time.Duration, bool) {
	if customer == forward.PublicCustomer {
		return 0, true // public routes are bounded by regions and slots
	}
	bucket := a.customer(customer)
	if bucket.TryTake(1) {
		return 0, true
	}
	return bucket.DelayFor(1), false
}

// regionGrants is the rate of each region on the request path.
type regionGrants struct{ *grants }

// TryTake takes one request from the region's rate.
func (g regionGrants) TryTake(region, service string) bool {
	return g.region(region, service).TryTake(1)
}

// Refund does nothing: the share may have moved to another VM since, and a
// refund would then exceed the cap. The cost is one request of headroom.
func (g regionGrants) Refund(string, string) {}

// linkGrants is the byte rate of each link on the request path.
type linkGrants struct{ *grants }

// Wait charges n bytes, waiting until they may pass or the context ends. Amounts
// above the depth are charged in parts.
func (g linkGrants) Wait(ctx context.Context, from, to string, n int) error {
	bucket := g.link(from, to)
	for left := float64(n); left > 0; {
		part := left
		if depth := bucket.Depth(); depth > 0 {
			part = min(left, depth)
		}
		if err := waitFor(ctx, bucket, part); err != nil {
			return errors.Trace(err)
		}
		left -= part
	}
	return nil
}

func waitFor(ctx context.Context, bucket *grant.Bucket, n float64) error {
	for !bucket.TryTake(n) {
		pause(ctx, min(bucket.DelayFor(n), maxLinkWait))
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// Refund does nothing, for the reason given at regionGrants.
func (g linkGrants) Refund(string, string, int) {}

// slotGrants holds the slots of upstreams on the request path.
type slotGrants struct{ *grants }

// TryAcquire takes a slot.
func (g slotGrants) TryAcquire(upstream string) bool { return g.slot(upstream).TryAcquire() }

// Release gives it back.
func (g slotGrants) Release(upstream string) { g.slot(upstream).Release() }

// connGrants holds the connections to upstreams.
type connGrants struct{ *grants }

// AcquireConn takes one connection without waiting.
func (g connGrants) AcquireConn(upstream string) bool { return g.conn(upstream).TryAcquire() }

// ReleaseConn gives one back.
func (g connGrants) ReleaseConn(upstream string) { g.conn(upstream).Release() }
