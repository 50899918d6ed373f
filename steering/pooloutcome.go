package steering

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// finish updates the health of the target and of the pool from the outcome of a request.
func (p *Pool) finish(t *Target, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.removed {
		return
	}
	p.rejections.count(o.Result)
	switch o.Result {
	case Success:
		t.health.recordSuccess(p.now)
		t.health.observe(o.Latency, p.now)
		p.latency.observe(o.Latency)
		p.updateBreaker(false)
	case Failure:
		t.health.observe(o.Latency, p.now)
		p.recordFailure(t, true)
	case Rejected:
		// A region that sheds load responds, so its breaker does not count rejections.
		p.recordFailure(t, false)
	case Refused:
		p.recordRefused(t)
	case Draining:
		p.beginLeaving(t, leavingInBand)
	case Cancelled:
		// The full latency is unknown but at least this long.
		if o.Latency > t.health.latency {
			t.health.observe(o.Latency, p.now)
		}
	}
	t.refresh(p.now, p.medianLatency, p.meanOtherLoad)
}

// recordRefused handles a refused connection: a sign of leaving or a failure.
func (p *Pool) recordRefused(t *Target) {
	if t.leaving.refusalMeansLeaving(p.now) {
		p.beginLeaving(t, leavingRefused)
		return
	}
	p.recordFailure(t, true)
}

// recordFailure counts a failure and ejects the target when that is required and
// permitted. countForBreaker tells whether the failure also counts for the region's breaker.
func (p *Pool) recordFailure(t *Target, countForBreaker bool) {
	t.health.consecutiveFailures++
	t.health.failedAt = p.now
	if countForBreaker {
		p.updateBreaker(true)
	}
	if !t.health.ejected && t.health.shouldEject() && p.mayEject() {
		p.ejections++
		t.health.eject(p.now, fraction(p.rng.Uint64()))
		p.rebuild()
	}
}

// mayEject reports whether at least half of the upstreams that are not leaving would
// remain in use after one more ejection.
func (p *Pool) mayEject() bool {
	present, ejected := p.countEjected()
	return 2*(ejected+1) <= present
}

func (p *Pool) countEjected() (present, ejected int) {
	for _, t := range p.members {
		if t.drained || t.leaving.active() {
			continue
		}
		present++
		if t.health.ejected {
			ejected++
		}
	}
	return present, ejected
}

// beginLeaving stops new requests to a target. Pool.mu is held.
func (p *Pool) beginLeaving(t *Target, s leavingSignal) {
	if t.leaving.active() {
		return
	}
	t.recordShareBefore()
	t.leaving.begin(s, p.now)
	p.limitEjections()
}

// limitEjections ends ejections until at most half of the upstreams that are not
// leaving are ejected, and publishes the eligible targets. Pool.mu is held.
func (p *Pool) limitEjections() {
	for _, id := range sortedKeys(p.members) {
		if present, ejected := p.countEjected(); 2*ejected <= present {
			break
		}
		if t := p.members[id]; t.health.ejected {
			p.readmit(t)
		}
	}
	p.rebuild()
}

// readmit returns a target to use, on probation and in slow start. Pool.mu is held.
func (p *Pool) readmit(t *Target) {
	t.health.endEjection()
	t.beginSlowStart(p.now)
}

// tick advances all state of the pool that depends on time.
func (p *Pool) tick(now, dt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = now
	p.tickBreaker()
	p.medianLatency, p.meanOtherLoad = p.computeMedianLatency(), p.computeMeanOtherLoad()
	changed := false
	p.rate = 0
	for _, t := range p.members {
		if t.health.ejected && now >= t.health.ejectedUntil {
			p.readmit(t)
			changed = true
		}
		t.health.decay(now, dt, p.medianLatency)
		t.updateSlowStart(now)
		t.updateRate(dt)
		t.refresh(now, p.medianLatency, p.meanOtherLoad)
		p.rate += t.rate
	}
	if changed {
		p.rebuild()
	}
	p.hedge.Store(int64(p.latency.tick(now)))
}

func (p *Pool) computeMedianLatency() time.Duration {
	var all []time.Duration
	for _, t := range p.members {
		if t.health.latency > 0 {
			all = append(all, t.health.latency)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.SortFunc(all, cmp.Compare[time.Duration])
	// The lower median, so that of two upstreams the slow one does not set the reference.
	return all[(len(all)-1)/2]
}

func (p *Pool) computeMeanOtherLoad() float64 {
	sum, n := 0.0, 0
	for _, t := range p.members {
		if t.report.known && p.now-t.report.measuredAt <= maxReportAge {
			sum += t.report.otherLoad
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
