package grant

import (
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
)

// idleGrantWindow is how long after the grace period first shares come with tokens of the time before:
// one round of renewals.
const idleGrantWindow = RenewInterval + MinRenewInterval

// idleTime is what the owner of a new term knows about a time in which nobody admitted anything:
// every process that may have held grants of an earlier term has been replaced by a later one of its
// VM, as after a loss of all power. Without the tokens of that time, callers within their rate would
// be rejected for as long again.
type idleTime struct {
	// since is when the last of the earlier processes had certainly ended, but not before the term:
	// the log does not name processes whose leases ended in an earlier one.
	since clock.Instant
	// replaced counts the processes that were replaced. unknown is set if one goes on.
	replaced int
	unknown  bool

	endedAt clock.Instant // when the grace period was first seen to have ended
	ended   bool
}

// addProcess records the first request of a process of a VM whose process former may hold grants.
func (t *idleTime) addProcess(incarnation, former uint64, age time.Duration, now clock.Instant) {
	if incarnation <= former {
		t.unknown = true
		return
	}
	if age = withoutDriftMargin(age); age < minElapsed(now, t.since) {
		t.since = now.Add(-age)
	}
	t.replaced++
}

// length returns the idle time before now, or 0 if there was none, it is not known, or the tokens of
// it are not granted any more. It is called after the grace period only.
func (t *idleTime) length(now clock.Instant) time.Duration {
	if !t.ended {
		t.ended, t.endedAt = true, now
	}
	if t.unknown || t.replaced == 0 || hasElapsed(now, t.endedAt, idleGrantWindow) {
		return 0
	}
	return withoutDriftMargin(minElapsed(now, t.since))
}

// withoutDriftMargin shortens a time measured on one clock so that it has also elapsed on any clock
// that is up to driftMargin slower.
func withoutDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - driftMargin))
}

// addIdleTokens computes the tokens that a rate accrued in the idle time, once, before any share of it
// is issued.
func (p *pool) addIdleTokens(idle time.Duration) {
	if p.idleTokensKnown {
		return
	}
	p.idleTokensKnown = true
	if p.sum.rate == 0 && p.sum.depth == 0 {
		p.idleTokens = min(p.cap.Burst, p.cap.Rate*idle.Seconds())
	}
}

// grantIdleTime adds to a reply the idle time for which the rates that are new to the holder start with
// tokens, and subtracts these from what is left of each rate.
func (o *Owner) grantIdleTime(m *member, reply *apipb.RenewReply, idle time.Duration) {
	granted := idle
	var first []*position
	for i := range m.layout.positions {
		at := &m.layout.positions[i]
		if at.kind != apipb.ResourceKind_RESOURCE_KIND_RATE || o.reports[i].held.rate > 0 || at.granted.rate <= 0 {
			continue
		}
		first = append(first, at)
		granted = min(granted, time.Duration(at.holding.pool.idleTokens/at.granted.rate*float64(time.Second)))
	}
	granted = granted.Truncate(time.Millisecond)
	if len(first) == 0 || granted <= 0 {
		return
	}
	for _, at := range first {
		at.holding.pool.idleTokens -= at.granted.rate * granted.Seconds()
	}
	reply.IdleMs = uint32(granted.Milliseconds())
}
