package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/pace"
)

const (
	// resumeSpread is the part of a pause, and maxResumeSpread the longest time, over which VMs come back
	// after it.
	resumeSpread    = 0.2
	maxResumeSpread = time.Second
)

// beginPause closes an upstream for this VM, which comes back at its own time.
func (t *Table) beginPause(now time.Time, u *upstream) {
	until := u.announced.PausedUntil()
	spread := min(time.Duration(resumeSpread*float64(until.Sub(now))), maxResumeSpread)
	fraction := float64(u.score(hashOf(t.self.VM))>>32) / (1 << 32)
	opens := until.Add(time.Duration(fraction * float64(spread)))
	t.setPace(u, pace.BeginAt(until, opens, pace.Paused, u.Slots))
}

// paused reports whether an upstream wants no requests from this VM now.
func (u *upstream) paused(now time.Time) bool {
	if u.paced == nil || u.paced.Reason() != pace.Paused {
		return false
	}
	if now.Before(u.paced.OpensAt()) {
		return true
	}
	if u.otherLoadAt.Before(u.paced.OpensAt()) {
		u.otherLoad, u.otherLoadAt = 0, now // what it reported before the pause says nothing any more
	}
	return false
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
		if at := u.paced.OpensAt(); earliest.IsZero() || at.Before(earliest) {
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
	if a := u.announced; a != nil && a.Settled(now) {
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
