package entry

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/forward"
	"pistachiomount.example/pistachiomount/grant"
)

// maxLinkWait bounds one wait for link tokens, after which the grant is read again,
// since a renewal may have changed it.
const maxLinkWait = 50 * time.Millisecond

// minRateWait bounds how often a request that waits for its customer's rate retries.
const minRateWait = time.Millisecond

// admitter applies the rates of customers on the request path.
type admitter struct{ *grants }

// Admit takes one request from the customer's rate, waiting until the given time at
// most. If the rate does not allow it, Admit returns the remaining delay.
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

// regionGrants applies the rate of each region on the request path.
type regionGrants struct{ *grants }

// TryTake takes one request from the region's rate.
func (g regionGrants) TryTake(region, service string) (grant.Reservation, bool) {
	return g.region(region, service).Reserve(1)
}

// Refund returns the tokens of a request that was never sent.
func (g regionGrants) Refund(region, service string, taken grant.Reservation) {
	g.region(region, service).Refund(taken, 1)
}

// linkGrants applies the byte rate of each link on the request path.
type linkGrants struct{ *grants }

// Wait charges n bytes, waiting until the rate allows them or the context ends. An
// amount above the bucket's depth is charged in parts, of which only the last can be
// refunded.
func (g linkGrants) Wait(ctx context.Context, from, to string, n int) (grant.Reservation, error) {
	bucket := g.link(from, to)
	var last grant.Reservation
	for remaining := float64(n); remaining > 0; {
		part := remaining
		if depth := bucket.Depth(); depth > 0 {
			part = min(remaining, depth)
		}
		charged, err := waitForTokens(ctx, bucket, part)
		if err != nil {
			bucket.Refund(last, math.Inf(1))
			return grant.Reservation{}, errors.Trace(err)
		}
		last = charged
		remaining -= part
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

// Refund returns n of the charged bytes.
func (g linkGrants) Refund(from, to string, charged grant.Reservation, n int) {
	g.link(from, to).Refund(charged, float64(n))
}

// slotGrants limits the requests in progress at upstreams by the granted slots.
type slotGrants struct{ *grants }

// TryAcquire takes a slot without waiting.
func (g slotGrants) TryAcquire(upstream string) bool { return g.slot(upstream).TryAcquire() }

// Release returns a slot.
func (g slotGrants) Release(upstream string) { g.slots.release(upstream) }

// connGrants limits the connections to upstreams.
type connGrants struct{ *grants }

// AcquireConn takes a connection permit without waiting.
func (g connGrants) AcquireConn(upstream string) bool { return g.conn(upstream).TryAcquire() }

// ReleaseConn returns a connection permit.
func (g connGrants) ReleaseConn(upstream string) { g.conns.release(upstream) }
