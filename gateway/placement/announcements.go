package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/announce"
)

// RecordAnnouncement records what a response says about its upstream.
func (t *Table) RecordAnnouncement(now time.Time, id string, a announce.Announcement) announce.Change {
	u := t.byID[id]
	if u == nil {
		return announce.NoChange
	}
	return u.announced.Record(now, a)
}

// RateLimit returns the limit that an upstream has announced, in requests per second; limited is false
// if there is none.
func (t *Table) RateLimit(id string) (limit float64, limited bool) {
	u := t.byID[id]
	if u == nil {
		return 0, false
	}
	return u.announced.RateLimit()
}

// LimitedUpstreams returns the number of upstreams that have announced a limit.
func (t *Table) LimitedUpstreams() int {
	n := 0
	for _, u := range t.upstreams {
		if _, limited := u.announced.RateLimit(); limited {
			n++
		}
	}
	return n
}
