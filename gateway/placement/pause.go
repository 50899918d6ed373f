package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/announce"
)

const (
	// resumeSpread is the part of a pause, and maxResumeSpread the longest time, over which VMs come back
	// after it.
	resumeSpread    = 0.2
	maxResumeSpread = time.Second
)

// resumption is how this VM comes back to an upstream after a pause: at its own time, with one request
// at first, and with one more for each that is answered.
type resumption struct {
	// at is when this VM sends requests again.
	at time.Time
	// window is how many requests may be in flight; 0 without a pause.
	window int
	// begun is set once the pause has passed.
	begun bool
}

// beginPause closes an upstream for this VM.
func (t *Table) beginPause(now time.Time, u *upstream) {
	until := u.announced.PausedUntil()
	spread := min(time.Duration(resumeSpread*float64(until.Sub(now))), maxResumeSpread)
	fraction := float64(u.score(hashOf(t.self.VM))>>32) / (1 << 32)
	u.announced.resume = resumption{at: until.Add(time.Duration(fraction * float64(spread))), window: 1}
}

// paused reports whether an upstream wants no requests from this VM now.
func (u *upstream) paused(now time.Time) bool {
	if u.announced == nil || u.announced.resume.window == 0 {
		return false
	}
	r := &u.announced.resume
	if now.Before(r.at) {
		return true
	}
	if !r.begun {
		r.begun = true
		u.otherLoad, u.otherLoadAt = 0, now // what it reported before the pause says nothing any more
	}
	return false
}

// withinWindow reports whether an upstream that has paused accepts one more request of this VM.
func (u *upstream) withinWindow() bool {
	return u.announced == nil || u.announced.resume.window == 0 || u.inFlight < u.announced.resume.window
}

// widenWindow follows a response after a pause.
func (u *upstream) widenWindow(now time.Time, o Outcome) {
	if u.announced == nil || u.announced.resume.window == 0 || u.paused(now) {
		return
	}
	r := &u.announced.resume
	switch {
	case o.Rejected || o.Failed || o.Unreachable || o.Unconnected:
		r.window = 1
	default:
		r.window++
	}
	if r.window > max(u.Slots, 1) {
		*r = resumption{}
	}
}

// EarliestReturn returns when the first upstream that may receive a request is open again; now if one
// is.
func (t *Table) EarliestReturn(now time.Time, q *Query) time.Time {
	var earliest time.Time
	for _, u := range t.upstreams {
		if !t.eligibleAfterPause(now, u, q) {
			continue
		}
		if !u.paused(now) {
			return now
		}
		if at := u.announced.resume.at; earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	if earliest.IsZero() {
		return now
	}
	return earliest
}

// forgetAnnounced drops what an upstream has announced once nothing of it is in force.
func (u *upstream) forgetAnnounced(now time.Time) {
	if a := u.announced; a != nil && a.resume.window == 0 && a.Settled(now) {
		u.announced = nil
	}
}

// applyChange updates what follows from a change in what an upstream announces.
func (t *Table) applyChange(now time.Time, u *upstream, a announce.Announcement, change announce.Change) {
	if a.Pause > 0 && u.announced.Paused(now) {
		t.beginPause(now, u)
	}
	if change == announce.LeavingBegan || change == announce.LeavingEnded {
		t.updateCapacity(now)
	}
	t.shareOfLimit(now, u) // tokens arrive from now on
	u.forgetAnnounced(now)
}
