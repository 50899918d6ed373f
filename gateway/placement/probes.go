package placement

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/pace"
	"pistachiomount.example/pistachiomount/inventory"
)

// DueProbes returns the ejected upstreams that are due for a probe.
func (t *Table) DueProbes(now time.Time) []inventory.Upstream {
	var due []inventory.Upstream
	for _, u := range t.upstreams {
		if u.ejected && !now.Before(u.ejectedUntil) && u.State == inventory.Live && !t.evacuated[u.FailureDomain] && t.withinLimit(now, u) {
			t.spendLimit(now, u)
			u.ejectedUntil = now.Add(probeTime) // no second probe before the result
			due = append(due, u.Upstream)
		}
	}
	return due
}

// RecordProbe records the result of a probe. A recovered upstream is paced; it may have restarted and be
// cold.
func (t *Table) RecordProbe(now time.Time, id string, healthy bool, cold time.Duration) {
	u := t.byID[id]
	if u == nil || !u.ejected {
		return
	}
	if !healthy {
		u.eject(now, t.maxEjection())
		return
	}
	u.ejected, u.failureRate, u.latencyRatio = false, 0, 1
	t.beginPace(now, u, pace.Recovered)
	if u.leaving() { // it does not accept requests while it leaves, so this is another run
		t.startRun(now, u)
		t.updateCapacity(now)
	}
	t.markCold(now, u, cold)
}
