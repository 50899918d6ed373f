package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// sweepInterval limits how often renewals look for expired holders.
const sweepInterval = 50 * time.Millisecond

// sweep expires the holders whose lease has certainly ended and removes those without holdings.
func (o *Owner) sweep(now clock.Instant) {
	if !hasElapsed(now, o.sweptAt, sweepInterval) {
		return
	}
	o.sweptAt = now
	kept := o.memberList[:0]
	for _, m := range o.memberList {
		o.expire(m, now)
		if m.live || len(m.holdingList) > 0 {
			kept = append(kept, m)
			continue
		}
		delete(o.members, m.key)
		if o.latest[m.key.vm] == m.key.incarnation {
			delete(o.latest, m.key.vm)
		}
	}
	clear(o.memberList[len(kept):])
	o.memberList = kept
}

func (o *Owner) expire(m *member, now clock.Instant) {
	if m.live && !hasElapsed(now, m.receivedAt, withDriftMargin(o.cfg.Lease)) {
		return
	}
	wasLive := m.live
	m.live = false
	for i := len(m.holdingList) - 1; i >= 0; i-- {
		h := m.holdingList[i]
		if wasLive {
			h.expire(now)
		}
		if h.quarantine == 0 || hasElapsed(now, h.quarantinedAt, withDriftMargin(o.cfg.Quarantine)) {
			m.remove(h)
		}
	}
}

// expire clears a holding whose lease has ended. Its units in force or in use are quarantined,
// because upstreams may still run their requests.
func (h *holding) expire(now clock.Instant) {
	h.update(func() {
		if h.pool.cap.Kind == apipb.ResourceKind_RESOURCE_KIND_UNITS {
			h.quarantine, h.quarantinedAt = h.committed().units, now
		}
		h.held, h.issued, h.used, h.demand = portion{}, portion{}, 0, 0
	})
	h.pool.dirty = true
}
