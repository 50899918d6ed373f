package steering

import "time"

const (
	// breakerFailures consecutive failures over all upstreams of a region, and at
	// least two for each upstream, suspend the region. Ejection alone would leave
	// half of a lost region's upstreams in use.
	breakerFailures   = 10
	breakerPerTarget  = 2
	breakerBackoff    = 1 * time.Second
	breakerMaxBackoff = 30 * time.Second
)

// breaker suspends a region in which no request succeeds. Pool.mu guards it.
type breaker struct {
	failures int // consecutive, over all upstreams
	probes   int // since the suspension
	next     time.Duration
}

// finishPool counts an outcome for the whole region. Pool.mu is held.
func (p *Pool) finishPool(failed bool) {
	if !failed {
		p.breaker = breaker{}
		if p.suspended.Load() {
			p.setSuspended(false)
		}
		return
	}
	p.breaker.failures++
	if p.suspended.Load() || p.breaker.failures < max(breakerFailures, breakerPerTarget*len(p.members)) {
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
		p.probe.Store(false)
	}
}

func (p *Pool) scheduleProbe() {
	p.breaker.next = p.now + backoff(p.breaker.probes, breakerBackoff, breakerMaxBackoff, fraction(p.rng.Uint64()))
	p.breaker.probes++
}

// tickBreaker permits the next probe of a suspended region. Pool.mu is held.
func (p *Pool) tickBreaker() {
	if p.suspended.Load() && p.now >= p.breaker.next {
		p.probe.Store(true)
		p.scheduleProbe()
	}
}
