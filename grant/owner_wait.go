package grant

import (
	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// waiting reports whether grants of an earlier term may still be in force. Until
// then only what holders report as held is confirmed.
func (o *Owner) waiting(now clock.Instant) bool {
	if o.cfg.NoPredecessor || o.cfg.ExpectedHolders != nil && len(o.missing) == 0 {
		return false
	}
	return !passed(now, o.elected, withMargin(o.cfg.Lease))
}

// predecessorGone reports whether requests that ran on units of an earlier term
// have certainly ended.
func (o *Owner) predecessorGone(now clock.Instant) bool {
	return o.cfg.NoPredecessor ||
		passed(now, o.elected, withMargin(o.cfg.Lease)+withMargin(o.cfg.Quarantine))
}

// settlePredecessor sets aside the units that no holder reported during the wait
// after election. A holder that was lost before may have requests running on
// them, and the quarantine that the earlier owner kept for it is not known here.
func (o *Owner) settlePredecessor(p *pool, now clock.Instant) {
	if p.cap.Kind != apipb.ResourceKind_RESOURCE_KIND_UNITS {
		return
	}
	if !p.predecessorSettled {
		p.predecessorSettled, p.dirty = true, true
		p.unreported = max(0, int64(p.largest)-p.sum.units)
	}
	if p.unreported > 0 && o.predecessorGone(now) {
		p.unreported, p.dirty = 0, true
	}
}
