package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// sweepInterval bounds the cost of looking for expired holders at each renewal.
const sweepInterval = 50 * time.Millisecond

// sweep expires the holders whose lease has certainly ended and removes those of
// which nothing is left.
func (o *Owner) sweep(now clock.Instant) {
	if !passed(now, o.swept, sweepInterval) {
		return
	}
	o.swept = now
	kept := o.order[:0]
	for _, m := range o.order {
		o.expire(m, now)
		if m.live || len(m.order) > 0 {
			kept = append(kept, m)
			continue
		}
		delete(o.members, m.key)
		if o.latest[m.key.vm] == m.key.incarnation {
			delete(o.latest, m.key.vm)
		}
	}
	clear(o.order[len(kept):])
	o.order = kept
}

func (o *Owner) expire(m *member, now clock.Instant) {
	if m.live && !passed(now, m.received, withMargin(o.cfg.Lease)) {
		return
	}
	wasLive := m.live
	m.live = false
	for i := len(m.order) - 1; i >= 0; i-- {
		h := m.order[i]
		if wasLive {
			h.lapse(now)
		}
		if h.quarantine == 0 || passed(now, h.quarantinedAt, withMargin(o.cfg.Quarantine)) {
			m.remove(h)
		}
	}
}

// lapse takes everything from a holding whose lease has ended. The units in
// force or in use stay counted, as upstreams may still run their requests.
func (h *holding) lapse(now clock.Instant) {
	h.change(func() {
		if h.pool.cap.Kind == apipb.ResourceKind_RESOURCE_KIND_UNITS {
			h.quarantine, h.quarantinedAt = h.committed().units, now
		}
		h.held, h.issued, h.used, h.demand = portion{}, portion{}, 0, 0
	})
	h.pool.dirty = true
}
