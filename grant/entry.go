package grant

import (
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// leasedResource is one resource of a Holder: a Bucket, Units or a sublease.
type leasedResource interface {
	report(now clock.Instant) report
	apply(now clock.Instant, share portion, leaseEnd clock.Instant, newOwner bool)
	resourceID() (ResourceID, apipb.ResourceKind)
}

// entry is one position of the most recent request, with the share reported as held in it and
// the share granted in the reply.
type entry struct {
	leasedResource
	held, granted portion
}

func (e entry) kind() apipb.ResourceKind {
	_, kind := e.resourceID()
	return kind
}

func (e entry) sameResource(o entry) bool { return e.leasedResource == o.leasedResource }

// updateEntries lists the rates and then the units in h.entries. It reports whether the list is
// that of the previous request; if not, it increments the layout number.
func (h *Holder) updateEntries() bool {
	entries := make([]entry, 0, len(h.entries))
	for _, id := range h.registered {
		if b := h.buckets[id]; b != nil {
			entries = append(entries, entry{leasedResource: b})
		}
	}
	entries = h.appendSubleases(entries, apipb.ResourceKind_RESOURCE_KIND_RATE)
	for _, id := range h.registered {
		if u := h.units[id]; u != nil {
			entries = append(entries, entry{leasedResource: u})
		}
	}
	entries = h.appendSubleases(entries, apipb.ResourceKind_RESOURCE_KIND_UNITS)
	if slices.EqualFunc(entries, h.entries, entry.sameResource) {
		return true
	}
	h.layoutNumber++
	h.entries = entries
	return false
}

func (h *Holder) appendSubleases(entries []entry, kind apipb.ResourceKind) []entry {
	for _, s := range h.subleases {
		if s.cap.Kind == kind {
			entries = append(entries, entry{leasedResource: s})
		}
	}
	return entries
}

// layoutMessage returns the resource names of the entries.
func (h *Holder) layoutMessage() *apipb.Layout {
	names := new(apipb.Layout)
	for _, e := range h.entries {
		if id, kind := e.resourceID(); kind == apipb.ResourceKind_RESOURCE_KIND_UNITS {
			names.Units = append(names.Units, string(id))
		} else {
			names.Rates = append(names.Rates, string(id))
		}
	}
	return names
}

func (b *Bucket) resourceID() (ResourceID, apipb.ResourceKind) {
	return b.resource, apipb.ResourceKind_RESOURCE_KIND_RATE
}

func (u *Units) resourceID() (ResourceID, apipb.ResourceKind) {
	return u.resource, apipb.ResourceKind_RESOURCE_KIND_UNITS
}

func (s *sublease) resourceID() (ResourceID, apipb.ResourceKind) { return s.cap.Resource, s.cap.Kind }
