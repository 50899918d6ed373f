package grant

import (
	"slices"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// entry is one position of the most recent request: a bucket or units, and what
// was reported as held and then granted.
type entry struct {
	bucket        *Bucket
	units         *Units
	held, granted portion
}

func (e entry) kind() apipb.ResourceKind {
	if e.units != nil {
		return apipb.ResourceKind_RESOURCE_KIND_UNITS
	}
	return apipb.ResourceKind_RESOURCE_KIND_RATE
}

func (e entry) report(now clock.Instant) report {
	if e.units != nil {
		return e.units.report(now)
	}
	return e.bucket.report(now)
}

func (e entry) apply(now clock.Instant, share portion, leaseEnd clock.Instant) {
	if e.units != nil {
		e.units.apply(now, share, leaseEnd)
		return
	}
	e.bucket.apply(now, share, leaseEnd)
}

func (e entry) same(o entry) bool { return e.bucket == o.bucket && e.units == o.units }

// lineUp lists the buckets and then the units. It reports whether the list is that
// of the request before; if not, it gets another number.
func (h *Holder) lineUp() bool {
	entries := make([]entry, 0, len(h.entries))
	for _, id := range h.order {
		if b := h.buckets[id]; b != nil {
			entries = append(entries, entry{bucket: b})
		}
	}
	for _, id := range h.order {
		if u := h.units[id]; u != nil {
			entries = append(entries, entry{units: u})
		}
	}
	if slices.EqualFunc(entries, h.entries, entry.same) {
		return true
	}
	h.layoutNumber++
	h.entries = entries
	return false
}

// layoutNames returns the names of the list.
func (h *Holder) layoutNames() *apipb.Layout {
	names := new(apipb.Layout)
	for _, e := range h.entries {
		if e.units != nil {
			names.Units = append(names.Units, string(e.units.resource))
		} else {
			names.Rates = append(names.Rates, string(e.bucket.resource))
		}
	}
	return names
}
