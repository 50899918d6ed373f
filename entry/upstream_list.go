package entry

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/inventory"
)

// upstreamList is the list of upstreams as read by the leader. It is owned by the
// goroutine that renews.
type upstreamList struct {
	log     logrus.FieldLogger
	version uint64
	entries map[string]inventory.Upstream
	// onUpstreams is called with each reply that has a list: the whole list, whether it
	// has changed, and how long ago the leader read it.
	onUpstreams func(list []inventory.Upstream, changed bool, age time.Duration)
}

// applyReply updates the list from a renewal reply, which holds the whole list or
// the changes since the last version.
func (l *upstreamList) applyReply(reply *apipb.RenewReply) {
	whole, err := inventory.DecodeCompact(reply.CompactList)
	if err != nil {
		// The version stays, so that the next reply holds the whole list again.
		l.log.WithError(err).Error("invalid list of upstreams from the leader")
		return
	}
	if reply.ListWhole || l.entries == nil {
		l.entries = make(map[string]inventory.Upstream, len(whole)+len(reply.Upstreams))
	}
	for _, u := range whole {
		l.entries[u.ID] = u
	}
	for _, entry := range reply.Upstreams {
		u, err := parseUpstream(entry)
		if err != nil {
			l.log.WithError(err).WithField("upstream", entry.Id).Error("invalid upstream in the leader's list")
			continue
		}
		l.entries[u.ID] = u
	}
	for _, id := range reply.UpstreamsGone {
		delete(l.entries, id)
	}
	changed := l.version != reply.ListVersion
	l.version = reply.ListVersion
	list := make([]inventory.Upstream, 0, len(l.entries))
	for id, u := range l.entries {
		list = append(list, u)
		u.Cold = 0 // Cold is passed to onUpstreams only once
		l.entries[id] = u
	}
	l.onUpstreams(list, changed, time.Duration(reply.ListAgeMs)*time.Millisecond)
}

func parseUpstream(entry *apipb.UpstreamEntry) (inventory.Upstream, error) {
	address, err := netip.ParseAddrPort(entry.Address)
	u := inventory.Upstream{
		ID: entry.Id, Service: entry.Service, Address: address, Region: entry.Region, FailureDomain: entry.FailureDomain,
		State: inventory.Live, Slots: int(entry.Slots), Cold: time.Duration(entry.ColdMs) * time.Millisecond,
	}
	if entry.Leaving {
		u.State = inventory.Leaving
	}
	return u, err
}
