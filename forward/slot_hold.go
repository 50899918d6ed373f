package forward

import "time"

// cancelGrace is how long an upstream may continue a request after the proxy cancelled it:
// the delay between regions, 55 ms, and time to stop.
const cancelGrace = 250 * time.Millisecond

// releaseSlot releases the slot once the upstream no longer runs the request. An immediate
// release would let another request start beside a cancelled one, so that an upstream runs
// more requests than it has slots.
func (a *attempt) releaseSlot() {
	slots, name := a.x.h.cfg.Slots, a.upstream.Name
	if hold := a.slotHoldTime(); hold > 0 {
		time.AfterFunc(hold, func() { slots.Release(name) })
		return
	}
	slots.Release(name)
}

// slotHoldTime returns how long the upstream may still be running the request. An upstream
// that timed out may not receive the cancellation and stops only at the deadline in the
// request.
func (a *attempt) slotHoldTime() time.Duration {
	switch {
	case !a.sent || a.fullyRead:
		return 0
	case isTimedOut(a.err):
		return max(0, time.Until(a.x.deadline)) + cancelGrace
	}
	return cancelGrace
}
