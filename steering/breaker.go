package steering

import "time"

const (
	// breakerFailures consecutive failures over all upstreams of a region, and at least
	// breakerFailuresPerTarget for each upstream, suspend the region. Ejection alone would
	// leave half of a failed region's upstreams in use.
	breakerFailures          = 10
	breakerFailuresPerTarget = 2
	breakerBackoff           = 1 * time.Second
	breakerMaxBackoff        = 30 * time.Second
)

// breaker suspends a region in which no request succeeds. Pool.mu guards it.
type breaker struct {
	consecutiveFailures int // over all upstreams of the region
	probes              int // since the suspension
	nextProbe           time.Duration
}

// updateBreaker counts an outcome for the region and suspends or resumes it. Pool.mu
// is held.
func (p *Pool) updateBreaker(failed bool) {
	if !failed {
		p.breaker = breaker{}
		if p.suspended.Load() {
			p.setSuspended(false)
		}
		return
	}
	p.breaker.consecutiveFailures++
	if p.suspended.Load() || p.breaker.consecutiveFailures < max(breakerFailures, breakerFailuresPerTarget*len(p.members)) {
		return
	}
	p.suspensions++
	p.setSuspended(true)
	p.scheduleProbe()
}

func (p *Pool) setSuspended(on bool) {
	if p.suspended.Swap(on) != on {
		p.service.setSuspended(p.region, on)
	}
	if !on {
		p.probePermitted.Store(false)
	}
}

// scheduleProbe sets the time of the next probe, with back-off.
func (p *Pool) scheduleProbe() {
	p.breaker.nextProbe = p.now + backoff(p.breaker.probes, breakerBackoff, breakerMaxBackoff, fraction(p.rng.Uint64()))
	p.breaker.probes++
}

// tickBreaker permits the next probe of a suspended region. Pool.mu is held.
func (p *Pool) tickBreaker() {
	if p.suspended.Load() && p.now >= p.breaker.nextProbe {
		p.probePermitted.Store(true)
		p.scheduleProbe()
	}
}
