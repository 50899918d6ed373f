package entry

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/grant"
)

// maxLinkWait bounds one wait for link tokens, after which the share is looked
// at again: a renewal may have changed it.
const maxLinkWait = 50 * time.Millisecond

// minRateWait keeps a request that waits for its customer's rate from spinning.
const minRateWait = time.Millisecond

// admitter is the customers' rate on the request path.
type admitter struct{ *grants }

// Admit takes one request from the customer's rate.
func (a admitter) Admit(ctx context.Context, customer string, until time.Time) (time.Duration, bool) {
	if customer == forward.PublicCustomer {
		return 0, true // public routes are bounded by regions and slots
	}
	bucket := a.customer(customer)
	for {
		if bucket.TryTake(1) {
			return 0, true
		}
		delay := bucket.DelayFor(1)
		if ctx.Err() != nil || time.Now().Add(delay).After(until) {
			return delay, false
		}
		pause(ctx, max(delay, minRateWait))
	}
}

// regionGrants is the rate of each region on the request path.
type regionGrants struct{ *grants }

// TryTake takes one request from the region's rate.
func (g regionGrants) TryTake(region, service string) (grant.Reservation, bool) {
	return g.region(region, service).Reserve(1)
}

// Refund gives back a request that was never sent.
func (g regionGrants) Refund(region, service string, taken grant.Reservation) {
	g.region(region, service).Refund(taken, 1)
}

// linkGrants is the byte rate of each link on the request path.
type linkGrants struct{ *grants }

// Wait charges n bytes, waiting until they may pass or the context ends. Amounts
// above the depth are charged in parts.
// Only the last part can be given back.
func (g linkGrants) Wait(ctx context.Context, from, to string, n int) (grant.Reservation, error) {
	bucket := g.link(from, to)
	var last grant.Reservation
	for left := float64(n); left > 0; {
		part := left
		if depth := bucket.Depth(); depth > 0 {
			part = min(left, depth)
		}
		charged, err := waitForTokens(ctx, bucket, part)
		if err != nil {
			bucket.Refund(last, math.Inf(1))
			return grant.Reservation{}, errors.Trace(err)
		}
		last = charged
		left -= part
	}
	return last, nil
}

func waitForTokens(ctx context.Context, bucket *grant.Bucket, n float64) (grant.Reservation, error) {
	for {
		if charged, ok := bucket.Reserve(n); ok {
			return charged, nil
		}
		pause(ctx, min(bucket.DelayFor(n), maxLinkWait))
		if err := ctx.Err(); err != nil {
			return grant.Reservation{}, err
		}
	}
}

// Refund gives back n of the charged bytes.
func (g linkGrants) Refund(from, to string, charged grant.Reservation, n int) {
	g.link(from, to).Refund(charged, float64(n))
}

// slotGrants holds the slots of upstreams on the request path.
type slotGrants struct{ *grants }

// TryAcquire takes a slot.
func (g slotGrants) TryAcquire(upstream string) bool { return g.slot(upstream).TryAcquire() }

// Release gives it back.
func (g slotGrants) Release(upstream string) { g.slots.release(upstream) }

// connGrants holds the connections to upstreams.
type connGrants struct{ *grants }

// AcquireConn takes one connection without waiting.
func (g connGrants) AcquireConn(upstream string) bool { return g.conn(upstream).TryAcquire() }

// ReleaseConn gives one back.
func (g connGrants) ReleaseConn(upstream string) { g.conns.release(upstream) }
