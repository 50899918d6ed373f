package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/announce"
)

// RecordAnnouncement records what a response says about its upstream.
func (t *Table) RecordAnnouncement(now time.Time, id string, a announce.Announcement) announce.Change {
	u := t.byID[id]
	if u == nil || u.announced == nil && !a.Limited {
		return announce.NoChange
	}
	if u.announced == nil {
		u.announced = &announced{}
	}
	change := u.announced.Record(now, a)
	t.shareOfLimit(now, u) // tokens arrive from now on
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
