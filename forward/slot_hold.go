package forward

import "time"

// cancelGrace is how long an upstream may go on with a request after the hop
// gave it up: the way between regions, 55 ms, and time to stop.
const cancelGrace = 250 * time.Millisecond

// releaseSlot gives the slot back once the upstream no longer runs the request.
// Giving it back at once let a further request start beside a cancelled one, so
// that an upstream ran more requests than it has slots.
func (a *attempt) releaseSlot() {
	slots, name := a.x.h.cfg.Slots, a.upstream.Name
	if hold := a.slotHoldTime(); hold > 0 {
		time.AfterFunc(hold, func() { slots.Release(name) })
		return
	}
	slots.Release(name)
}

// slotHoldTime returns how long the upstream may still be running the request. A
// silent one may not hear of the cancellation and stops at the deadline that it
// was told.
func (a *attempt) slotHoldTime() time.Duration {
	switch {
	case !a.sent || a.fullyRead:
		return 0
	case isTimedOut(a.err):
		return max(0, time.Until(a.x.deadline)) + cancelGrace
	}
	return cancelGrace
}
