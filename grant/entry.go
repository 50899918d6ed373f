package grant

import (
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// leased is what a Holder has of one resource: a Bucket, Units or a sublease.
type leased interface {
	report(now clock.Instant) report
	apply(now clock.Instant, share portion, leaseEnd clock.Instant)
	name() (ResourceID, apipb.ResourceKind)
}

// entry is one position of the most recent request, and what was reported as held
// and then granted.
type entry struct {
	leased
	held, granted portion
}

func (e entry) kind() apipb.ResourceKind {
	_, kind := e.name()
	return kind
}

func (e entry) same(o entry) bool { return e.leased == o.leased }

// lineUp lists the buckets and then the units. It reports whether the list is that
// of the request before; if not, it gets another number.
func (h *Holder) lineUp() bool {
	entries := make([]entry, 0, len(h.entries))
	for _, id := range h.order {
		if b := h.buckets[id]; b != nil {
			entries = append(entries, entry{leased: b})
		}
	}
	entries = h.appendSubleases(entries, apipb.ResourceKind_RESOURCE_KIND_RATE)
	for _, id := range h.order {
		if u := h.units[id]; u != nil {
			entries = append(entries, entry{leased: u})
		}
	}
	entries = h.appendSubleases(entries, apipb.ResourceKind_RESOURCE_KIND_UNITS)
	if slices.EqualFunc(entries, h.entries, entry.same) {
		return true
	}
	h.layoutNumber++
	h.entries = entries
	return false
}

func (h *Holder) appendSubleases(entries []entry, kind apipb.ResourceKind) []entry {
	for _, s := range h.subleases {
		if s.cap.Kind == kind {
			entries = append(entries, entry{leased: s})
		}
	}
	return entries
}

// layoutNames returns the names of the list.
func (h *Holder) layoutNames() *apipb.Layout {
	names := new(apipb.Layout)
	for _, e := range h.entries {
		if id, kind := e.name(); kind == apipb.ResourceKind_RESOURCE_KIND_UNITS {
			names.Units = append(names.Units, string(id))
		} else {
			names.Rates = append(names.Rates, string(id))
		}
	}
	return names
}

func (b *Bucket) name() (ResourceID, apipb.ResourceKind) {
	return b.resource, apipb.ResourceKind_RESOURCE_KIND_RATE
}

func (u *Units) name() (ResourceID, apipb.ResourceKind) {
	return u.resource, apipb.ResourceKind_RESOURCE_KIND_UNITS
}

func (s *sublease) name() (ResourceID, apipb.ResourceKind) { return s.cap.Resource, s.cap.Kind }
