package grant

import (
	"math"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// lowWater is the part of the depth below which more share is asked for early.
const lowWater = 0.5

// Bucket is the holder's part of a rate: a token bucket that is empty and
// closed while its lease is not valid. It is safe for concurrent use.
type Bucket struct {
	clock    clock.Clock
	resource ResourceID

	mu           sync.Mutex
	rate         float64
	depth        float64
	tokens       float64
	filled       clock.Instant // time up to which tokens have accrued
	leaseEnd     clock.Instant
	leased       bool
	epoch        uint64 // counts the times the bucket was emptied by expiry
	demand       meter
	early        earlyTrigger
	closed       bool
	heldInReport bool // the last request reported a share as held
}

// Reservation is an amount taken in advance.
type Reservation struct {
	amount float64
	epoch  uint64
}

// Epoch identifies the lease of a reservation for RestoredReservation.
func (r Reservation) Epoch() uint64 { return r.epoch }

// RestoreReservation returns a reservation that was described to another process.
func RestoreReservation(amount float64, epoch uint64) Reservation {
	return Reservation{amount: amount, epoch: epoch}
}

func newBucket(c clock.Clock, id ResourceID) *Bucket {
	now := c.Now()
	return &Bucket{clock: c, resource: id, filled: now, demand: meter{since: now}}
}

// TryTake takes n tokens if they are there and the lease is valid.
func (b *Bucket) TryTake(n float64) bool {
	_, ok := b.Reserve(n)
	return ok
}

// Reserve takes n tokens of which an unused part may be given back by Refund.
func (b *Bucket) Reserve(n float64) (Reservation, bool) {
	if !(n >= 0) { // also not a number
		return Reservation{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.demand.add(n)
	if !b.fill(now) || b.tokens < n {
		b.early.set()
		return Reservation{}, false
	}
	b.tokens -= n
	if b.tokens < lowWater*b.depth {
		b.early.set()
	}
	return Reservation{amount: n, epoch: b.epoch}, true
}

// Refund gives back the unused part of a reservation, up to the depth. A
// reservation from before an expiry is void: its depth may have gone to another
// holder since.
func (b *Bucket) Refund(r Reservation, unused float64) {
	if !(unused > 0) { // also not a number
		return
	}
	unused = min(unused, r.amount)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.count = max(0, b.demand.count-unused)
	if b.epoch != r.epoch || !b.fill(b.clock.Now()) {
		return
	}
	b.tokens = min(b.depth, b.tokens+unused)
}

// DelayFor returns how long until n tokens are likely to be available, 0 if
// they are now. It returns RenewInterval if the present share cannot supply
// them, since only a renewal can change that.
func (b *Bucket) DelayFor(n float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !b.fill(b.clock.Now()):
		return RenewInterval
	case b.tokens >= n:
		return 0
	case b.rate <= 0 || n > b.depth:
		return RenewInterval
	}
	// Rounded up: a shorter wait would find the tokens missing by a fraction.
	wait := math.Ceil((n-b.tokens)/b.rate*float64(time.Second)) + 1
	return time.Duration(min(wait, float64(time.Hour)))
}

// Depth returns the largest amount that can be taken at once at present.
func (b *Bucket) Depth() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.valid(b.clock.Now()) {
		return 0
	}
	return b.depth
}

func (b *Bucket) valid(now clock.Instant) bool {
	return b.leased && now.Before(b.leaseEnd)
}

// fill adds the tokens that arrived since the last call. It reports whether the
// lease is valid.
func (b *Bucket) fill(now clock.Instant) bool {
	if !b.valid(now) {
		return false
	}
	if dt := leastElapsed(now, b.filled); dt > 0 {
		b.tokens = min(b.depth, b.tokens+b.rate*dt.Seconds())
		b.filled = now
	}
	return true
}

// expire empties the bucket if its lease has ended. The bucket stays closed
// even if a clock is set back later, because the owner is told of the expiry.
func (b *Bucket) expire(now clock.Instant) {
	if b.valid(now) {
		return
	}
	if b.leased {
		b.epoch++
	}
	b.leased, b.rate, b.depth, b.tokens = false, 0, 0, 0
}

// report describes the bucket for a request.
func (b *Bucket) report(now clock.Instant) report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.early.asked(now, b.rate)
	b.heldInReport = b.leased
	return report{held: portion{rate: b.rate, depth: b.depth}, demand: b.demand.roll(now)}
}

// apply puts a share in force. Depth that is new to the bucket starts empty.
//
// A new owner confirms what the request reported. If that lapsed on the way, the
// earlier owner may have granted it to others before the election, so it does
// not come into force; the next request reports nothing as held.
func (b *Bucket) apply(now clock.Instant, share portion, leaseEnd clock.Instant, newOwner bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	if b.closed || newOwner && b.heldInReport && !b.leased {
		return
	}
	b.fill(now)
	b.early.answered(share.rate, b.rate)
	b.rate, b.depth = share.rate, share.depth
	b.tokens = min(b.tokens, b.depth)
	b.filled, b.leaseEnd, b.leased = now, leaseEnd, true
}

// handBack closes the bucket for good.
func (b *Bucket) handBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed, b.leased = true, false
	b.rate, b.depth, b.tokens = 0, 0, 0
	b.epoch++
}

// wantsRenewal reports whether an early renewal is due.
func (b *Bucket) wantsRenewal(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.demand.jumped(now, b.rate) {
		b.early.set()
	}
	return b.early.due(now)
}
