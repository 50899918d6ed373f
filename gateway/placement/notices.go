package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/pace"
)

// Notices returns what upstreams have announced, how many requests they reject, and how far paced ones have progressed, as
// far as other VMs should know.
func (t *Table) Notices(now time.Time) []announce.Notice {
	var notices []announce.Notice
	for _, u := range t.upstreams {
		if n, ok := u.notice(now); ok {
			notices = append(notices, n)
		}
	}
	return notices
}

// sharedPace is how far a paced upstream has progressed, if that matters to other VMs: 0 if only this VM paces
// it, or has had no response.
func (u *upstream) sharedPace() float64 {
	if u.paced == nil || !u.paced.Responded() || u.paced.Reason() == pace.Paused || u.paced.Reason() == pace.Unheard {
		return 0
	}
	return u.paced.Progress()
}

// notice returns what other VMs should know of an upstream; ok is false if there is nothing.
func (u *upstream) notice(now time.Time) (n announce.Notice, ok bool) {
	n.Upstream = u.ID
	if u.announced != nil {
		n, ok = u.announced.Notice(now, u.ID)
	}
	if rate := u.recent.rejections.own(now); rate > notableRejectionRate {
		n.RejectionRate, ok = rate, true
	}
	if n.Pace = u.sharedPace(); n.Pace > 0 {
		ok = true
	}
	return n, ok
}

// SetNotices replaces what upstreams have announced to all VMs, and returns what changed by upstream. What
// was announced before the current run of an upstream began says nothing about it.
func (t *Table) SetNotices(now time.Time, notices map[string]announce.Notice) map[string]announce.Change {
	changes := map[string]announce.Change{}
	for _, u := range t.upstreams {
		n, found := notices[u.ID]
		u.recent.setOthersRejections(now, n.RejectionRate)
		if u.announced == nil && !found {
			continue
		}
		if n.Pace > 0 && u.paced != nil {
			u.paced.Adopt(now, n.Pace)
		}
		n = n.Since(u.runSince)
		if u.announced == nil {
			if !n.InForce() {
				continue
			}
			u.announced = &announced{}
		}
		change := u.announced.SetOthers(now, n)
		if change != announce.NoChange {
			changes[u.ID] = change
		}
		t.applyChange(now, u, announce.Announcement{}, change)
	}
	return changes
}
