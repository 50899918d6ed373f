package steering

import (
	"sync"
	"sync/atomic"
	"time"
)

// Pool is the set of upstreams of one service in one region. Its methods are
// safe for concurrent use.
type Pool struct {
	service *service
	region  int
	name    string
	rng     Rand

	eligible       atomic.Pointer[[]*Target]
	suspended      atomic.Bool
	probePermitted atomic.Bool
	hedge          atomic.Int64 // hedge delay in nanoseconds, 0 when unknown

	mu            sync.Mutex
	now           time.Duration // of the last tick
	members       map[string]*Target
	medianLatency time.Duration // over the members
	meanOtherLoad float64       // mean load that members report for other VMs
	breaker       breaker
	latency       latencyWindow
	rejections    rejections

	ejections   uint64
	suspensions uint64

	rate        float64 // requests per second
	serviceRate float64 // requests per second of the service in all regions
	draining    bool    // the document drains the region
	// shareBefore is the region's share of the service's requests when its drain began.
	shareBefore float64
}

func newPool(s *service, region int, name string, rng Rand) *Pool {
	p := &Pool{service: s, region: region, name: name, rng: rng, members: make(map[string]*Target)}
	p.eligible.Store(new([]*Target))
	p.latency.reset()
	return p
}

// Region returns the name of the pool's region.
func (p *Pool) Region() string { return p.name }

func (p *Pool) hasTargets() bool { return len(*p.eligible.Load()) > 0 }

func (p *Pool) usable() bool { return p.hasTargets() && !p.suspended.Load() }

// takeProbe consumes the permission to send one request to a suspended region.
func (p *Pool) takeProbe() bool {
	return p.probePermitted.Load() && p.probePermitted.CompareAndSwap(true, false)
}

// HedgeDelay returns how long to wait for a response before sending a hedge: the 95th
// percentile of recent latencies. It returns false while there are too few samples.
func (p *Pool) HedgeDelay() (time.Duration, bool) {
	d := p.hedge.Load()
	return time.Duration(d), d > 0
}

// Pick returns the cheaper of two randomly chosen upstreams that are not in excluded,
// which may be nil. It returns false when there is none.
func (p *Pool) Pick(excluded *Exclusion) (*Target, bool) {
	targets := *p.eligible.Load()
	n := len(targets)
	if n == 0 {
		return nil, false
	}
	bits := p.rng.Uint64()
	first := index(uint32(bits), n)
	a := p.candidate(targets, first, excluded)
	if a == nil {
		return nil, false
	}
	if n == 1 {
		return a, true
	}
	second := (first + 1 + index(uint32(bits>>32), n-1)) % n
	b := p.candidate(targets, second, excluded)
	if b != a && b.cost() < a.cost() {
		return b, true
	}
	return a, true
}

// candidate returns the first acceptable target, searching from position at. A target
// in slow start is accepted with a probability that grows over time. If no target is
// accepted, the first one that is not excluded is returned.
func (p *Pool) candidate(targets []*Target, at int, excluded *Exclusion) *Target {
	var fallback *Target
	for range targets {
		t := targets[at]
		if at++; at == len(targets) {
			at = 0
		}
		if excluded.contains(t) {
			continue
		}
		if w := t.acceptance.Load(); w >= fullAcceptance || uint32(p.rng.Uint64()%fullAcceptance) < w {
			return t
		}
		if fallback == nil {
			fallback = t
		}
	}
	return fallback
}

// rebuild publishes the eligible targets to the request path. Pool.mu is held.
func (p *Pool) rebuild() {
	list := make([]*Target, 0, len(p.members))
	for _, id := range sortedKeys(p.members) {
		if t := p.members[id]; t.eligible() {
			list = append(list, t)
		}
	}
	p.eligible.Store(&list)
}
