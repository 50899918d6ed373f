package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/pace"
	"pistachiomount.example/pistachiomount/inventory"
)

// RecordAnnouncement records what a response says about its upstream.
func (t *Table) RecordAnnouncement(now time.Time, id string, a announce.Announcement) announce.Change {
	u := t.byID[id]
	if u == nil || u.announced == nil && a.Empty() {
		return announce.NoChange
	}
	if u.announced == nil {
		u.announced = &announced{}
	}
	change := u.announced.Record(now, a)
	t.applyChange(now, u, a, change)
	return change
}

// Limited reports whether an upstream has announced a limit.
func (t *Table) Limited(id string) bool {
	u := t.byID[id]
	return u != nil && u.limited()
}

// LimitedUpstreams returns the number of upstreams that have announced a limit.
func (t *Table) LimitedUpstreams() int {
	n := 0
	for _, u := range t.upstreams {
		if u.limited() {
			n++
		}
	}
	return n
}

// limited reports whether the upstream has announced a limit.
func (u *upstream) limited() bool { return u.announced != nil && u.announced.Limited() }

// leaving reports whether the upstream has said that it shuts down.
func (u *upstream) leaving() bool { return u.announced != nil && u.announced.Leaving() }

// listsNewRun reports whether an entry of the list describes a later run of an upstream that has said that
// it leaves: it is cold for longer than the run before would be.
func (u *upstream) listsNewRun(now time.Time, entry inventory.Upstream) bool {
	return u.leaving() && entry.State == inventory.Live && entry.Cold > 0 && now.Add(entry.Cold).After(u.coldUntil)
}

// startRun forgets what an earlier run of the upstream has announced, and paces the new one.
func (t *Table) startRun(now time.Time, u *upstream) {
	u.announced, u.paced, u.runSince = nil, nil, now
	t.beginPace(now, u, pace.Started)
}
