package grant

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// lowWaterFraction is the fill level, as a fraction of the depth, below which a bucket requests an
// early renewal.
const lowWaterFraction = 0.5

// Bucket is a holder's share of a rate: a token bucket that admits nothing while its lease is
// not valid. It is safe for concurrent use.
type Bucket struct {
	clock    clock.Clock
	resource ResourceID

	mu         sync.Mutex
	rate       float64
	depth      float64
	tokens     float64
	refilledAt clock.Instant // time up to which tokens have accrued
	leaseEnd   clock.Instant
	leased     bool
	filledAt   clock.Instant // when a new share has had time to fill
	partial    bool          // the share is smaller than it will be for reasons other than demand
	epoch      uint64        // incremented when the bucket is emptied by expiry or stop; begins at random, since reservations
	// of an earlier bucket or process may be refunded here
	demand         meter
	early          earlyRenewal
	stopped        bool
	reportedAsHeld bool // the last request reported a share as in force
	asked          bool // a request since the last reply
	askedAt        clock.Instant
}

// Reservation is a number of tokens taken from a Bucket, of which a part can be refunded.
type Reservation struct {
	amount float64
	epoch  uint64
}

// Epoch returns the number of the bucket's lease period, which RestoreReservation needs.
func (r Reservation) Epoch() uint64 { return r.epoch }

// RestoreReservation rebuilds a reservation from its amount and epoch, which were sent to another
// process.
func RestoreReservation(amount float64, epoch uint64) Reservation {
	return Reservation{amount: amount, epoch: epoch}
}

func newBucket(c clock.Clock, id ResourceID) *Bucket {
	now := c.Now()
	return &Bucket{clock: c, resource: id, refilledAt: now, demand: meter{since: now}, epoch: rand.Uint64()}
}

// TryTake takes n tokens if the bucket holds them and its lease is valid.
func (b *Bucket) TryTake(n float64) bool {
	_, ok := b.Reserve(n)
	return ok
}

// Reserve takes n tokens like TryTake. Refund returns an unused part of them.
func (b *Bucket) Reserve(n float64) (Reservation, bool) {
	if !(n >= 0) { // also rejects NaN
		return Reservation{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.demand.add(n)
	if !b.refill(now) || b.tokens < n {
		b.early.request()
		return Reservation{}, false
	}
	b.tokens -= n
	if b.tokens < lowWaterFraction*b.depth {
		b.early.request()
	}
	return Reservation{amount: n, epoch: b.epoch}, true
}

// ReserveUpTo takes as many whole tokens as there are, up to n. It returns how many, 0 if there is none.
func (b *Bucket) ReserveUpTo(n int) (Reservation, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.demand.addOnes(n)
	if !b.refill(now) || b.tokens < 1 {
		b.early.request()
		return Reservation{}, 0
	}
	taken := min(n, int(b.tokens))
	b.tokens -= float64(taken)
	if b.tokens < lowWaterFraction*b.depth {
		b.early.request()
	}
	return Reservation{amount: float64(taken), epoch: b.epoch}, taken
}

// Refund returns the unused part of a reservation to the bucket, up to the depth. A
// reservation made before the lease expired is void, because its depth may have been granted
// to another holder since.
func (b *Bucket) Refund(r Reservation, unused float64) {
	if !(unused > 0) { // also rejects NaN
		return
	}
	unused = min(unused, r.amount)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.count = max(0, b.demand.count-unused)
	if b.epoch != r.epoch || !b.refill(b.clock.Now()) {
		return
	}
	b.tokens = min(b.depth, b.tokens+unused)
}

// DelayFor estimates how long until n tokens are available; it is 0 if they are available
// now. It returns RenewInterval if the present share cannot supply them, because only a
// renewal can change that.
func (b *Bucket) DelayFor(n float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.refill(b.clock.Now()):
		return RenewInterval
	case b.tokens >= n:
		return 0
	case b.rate <= 0 || n > b.depth:
		return RenewInterval
	}
	// Round up: after a shorter wait a fraction of a token would still be missing.
	wait := math.Ceil((n-b.tokens)/b.rate*float64(time.Second)) + 1
	return time.Duration(min(wait, float64(time.Hour)))
}

// Depth returns the largest number of tokens that can be taken at once under the present
// lease, 0 without one.
func (b *Bucket) Depth() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.valid(b.clock.Now()) {
		return 0
	}
	return b.depth
}

// Settled reports whether a share without tokens means that the holder's demand exceeds it. A new share begins
// empty, and it may be small until others give up theirs with their next renewals, or a new owner knows what they
// hold. While no owner replies, none can enlarge it.
func (b *Bucket) Settled() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if b.asked && now.ElapsedSince(b.askedAt) >= replyTimeout {
		return false
	}
	return b.valid(now) && b.rate > 0 && b.depth > 0 && !b.partial && !now.Before(b.filledAt)
}

func (b *Bucket) valid(now clock.Instant) bool {
	return b.leased && now.Before(b.leaseEnd)
}

// refill adds the tokens accrued since the last call and reports whether the lease is valid.
func (b *Bucket) refill(now clock.Instant) bool {
	if !b.valid(now) {
		return false
	}
	if dt := minElapsed(now, b.refilledAt); dt > 0 {
		b.tokens = min(b.depth, b.tokens+b.rate*dt.Seconds())
		b.refilledAt = now
	}
	return true
}

// expire empties the bucket if its lease has ended. The lease stays ended even if a clock is
// set back later, because the owner is told of the expiry.
func (b *Bucket) expire(now clock.Instant) {
	if b.valid(now) {
		return
	}
	if b.leased {
		b.epoch++
	}
	b.leased, b.rate, b.depth, b.tokens = false, 0, 0, 0
}

// report returns the state of the bucket for a renewal request.
func (b *Bucket) report(now clock.Instant) report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.early.onRequest(now, b.rate)
	if !b.asked {
		b.asked, b.askedAt = true, now
	}
	b.reportedAsHeld = b.leased
	return report{held: portion{rate: b.rate, depth: b.depth}, demand: b.demand.closeInterval(now)}
}

// apply puts a share in force. Depth that is new to the bucket starts empty.
//
// A new owner only confirms what the request reported. If the lease expired while the request
// was in flight, the earlier owner may have granted the share to others before the election,
// so it is not put in force; the next request reports nothing as held.
func (b *Bucket) apply(now clock.Instant, share portion, leaseEnd clock.Instant, newOwner bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.asked = false
	if b.stopped || newOwner && b.reportedAsHeld && !b.leased {
		return
	}
	b.refill(now)
	if !b.leased || b.rate == 0 || b.depth == 0 {
		b.filledAt = now.Add(RenewInterval)
	}
	b.early.onReply(share.rate, b.rate)
	b.rate, b.depth = share.rate, share.depth
	b.tokens = min(b.tokens, b.depth)
	b.refilledAt, b.leaseEnd, b.leased = now, leaseEnd, true
}

// addIdleTokens fills a share that was just put in force, and is new to the bucket, with the tokens of
// a time in which nobody held one.
func (b *Bucket) addIdleTokens(idle time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leased {
		b.tokens = min(b.depth, b.tokens+b.rate*idle.Seconds())
	}
}

// setPartial records whether the share that was just put in force is smaller than it will be for reasons other than
// demand.
func (b *Bucket) setPartial(partial bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.partial = partial
}

// stop drops the share permanently; later calls of apply have no effect.
func (b *Bucket) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped, b.leased = true, false
	b.rate, b.depth, b.tokens = 0, 0, 0
	b.epoch++
}

// wantsRenewal reports whether an early renewal is due.
func (b *Bucket) wantsRenewal(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.demand.jumped(now, b.rate) {
		b.early.request()
	}
	return b.early.due(now)
}
