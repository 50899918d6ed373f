package grant

import (
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// inGracePeriod reports whether grants of an earlier term may still be in force. During the grace
// period the owner only confirms what holders report as held.
func (o *Owner) inGracePeriod(now clock.Instant) bool {
	if o.cfg.NoPredecessor || o.cfg.ExpectedHolders != nil && len(o.pendingVMs) == 0 {
		return false
	}
	return !hasElapsed(now, o.elected, withDriftMargin(o.cfg.Lease))
}

// predecessorRequestsEnded reports whether the requests that use units granted in an earlier
// term have certainly ended.
func (o *Owner) predecessorRequestsEnded(now clock.Instant) bool {
	return o.cfg.NoPredecessor ||
		hasElapsed(now, o.elected, withDriftMargin(o.cfg.Lease)+withDriftMargin(o.cfg.Quarantine))
}

// quarantineUnreported quarantines the units that no holder reported during the grace period. A
// holder that was lost before the election may have requests running on them, and the quarantine
// that the earlier owner kept for it is not known to this one.
func (o *Owner) quarantineUnreported(p *pool, now clock.Instant) {
	if p.cap.Kind != apipb.ResourceKind_RESOURCE_KIND_UNITS {
		return
	}
	if !p.unreportedQuarantined {
		p.unreportedQuarantined, p.dirty = true, true
		p.unreported = max(0, int64(p.largestCap)-p.sum.units)
	}
	if p.unreported > 0 && o.predecessorRequestsEnded(now) {
		p.unreported, p.dirty = 0, true
	}
}
