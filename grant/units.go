package grant

import (
	"math"
	"sync"

	"pistachiomount.example/pistachiomount/clock"
)

// Units is a holder's share of a resource that is counted in units, such as concurrent requests.
// It is safe for concurrent use.
type Units struct {
	clock    clock.Clock
	resource ResourceID

	mu             sync.Mutex
	granted        uint32
	used           uint32
	peak           uint32 // largest use since the last report
	rejected       bool   // a unit was rejected since the last report
	smoothedDemand float64
	reportedAt     clock.Instant
	leaseEnd       clock.Instant
	leased         bool
	early          earlyRenewal
	stopped        bool
	reportedAsHeld bool // the last request reported units as held
}

func newUnits(c clock.Clock, id ResourceID) *Units {
	return &Units{clock: c, resource: id, reportedAt: c.Now()}
}

// TryAcquire takes one unit. It fails without a valid lease or if all granted units are in use.
func (u *Units) TryAcquire() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.valid(u.clock.Now()) || u.used >= u.granted {
		u.rejected = true
		u.early.request()
		return false
	}
	u.used++
	u.peak = max(u.peak, u.used)
	return true
}

// Release returns one unit. Each successful TryAcquire must be followed by exactly one Release,
// also when the lease expired in between.
func (u *Units) Release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.used > 0 {
		u.used--
	}
}

// InUse returns the number of units in use and the number granted under the present lease.
func (u *Units) InUse() (used, granted uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.valid(u.clock.Now()) {
		return u.used, 0
	}
	return u.used, u.granted
}

func (u *Units) valid(now clock.Instant) bool {
	return u.leased && now.Before(u.leaseEnd)
}

func (u *Units) expire(now clock.Instant) {
	if !u.valid(now) {
		u.leased, u.granted = false, 0
	}
}

func (u *Units) report(now clock.Instant) report {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	u.early.onRequest(now, float64(u.granted))
	u.reportedAsHeld = u.leased
	return report{held: portion{units: u.granted}, used: u.used, demand: u.rollDemand(now)}
}

// rollDemand returns the units wanted and begins the next measuring interval. The result is the
// peak use, increased by a half and one unit after a rejection. It decays with time constant
// demandTau, so that shares do not follow each short dip.
func (u *Units) rollDemand(now clock.Instant) float64 {
	wanted := float64(u.peak)
	if u.rejected {
		wanted += 1 + wanted/2
	}
	decay := math.Exp(-minElapsed(now, u.reportedAt).Seconds() / demandTau.Seconds())
	u.smoothedDemand = max(wanted, wanted+(u.smoothedDemand-wanted)*decay)
	if u.smoothedDemand < 0.05 {
		u.smoothedDemand = 0
	}
	u.reportedAt, u.peak, u.rejected = now, u.used, false
	return u.smoothedDemand
}

// apply puts a share in force, except in the case that Bucket.apply describes.
func (u *Units) apply(now clock.Instant, share portion, leaseEnd clock.Instant, newOwner bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.expire(now)
	if u.stopped || newOwner && u.reportedAsHeld && !u.leased {
		return
	}
	u.early.onReply(float64(share.units), float64(u.granted))
	u.granted, u.leaseEnd, u.leased = share.units, leaseEnd, true
}

func (u *Units) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped, u.leased, u.granted = true, false, 0
}

func (u *Units) wantsRenewal(now clock.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.early.due(now)
}

func (u *Units) idle() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.used == 0
}

func (u *Units) isStopped() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.stopped
}

func (u *Units) setStopped(stopped bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = stopped
}
