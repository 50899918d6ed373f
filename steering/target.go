package steering

import (
	"math"
	"sync/atomic"
	"time"
)

// Target is an upstream as the request path uses it. Its methods are safe for
// concurrent use. An upstream that left the platform's list and came back is a
// new Target.
type Target struct {
	info Upstream
	pool *Pool

	inFlight       atomic.Int64
	sent           atomic.Uint64
	otherLoad      atomic.Uint64 // reported load that is not own, as float bits
	costPerRequest atomic.Uint64 // cost of one request, as float bits
	acceptance     atomic.Uint32 // acceptance during slow start, of fullWarmth

	// Pool.mu guards the rest.
	slots       int
	leaving     leaving
	drained     bool // by the document
	removed     bool // from the platform's list
	health      health
	report      reportedLoad
	slowStartAt time.Duration // start of slow start, negative when over

	sentAtTick  uint64
	rate        float64 // requests per second
	shareBefore float64 // of the service's requests, when it began to leave
}

// reportedLoad is the upstream's last own report.
type reportedLoad struct {
	inFlight   int
	otherLoad  float64
	measuredAt time.Duration
	known      bool
}

const (
	fullAcceptance = 1 << 16
	// slowStartTime is how long a new or returned upstream takes to its full share; its
	// caches are cold.
	slowStartTime = 10 * time.Second
	// minAcceptance is the acceptance at the begin of slow start; with 0 an idle
	// service would never warm it.
	minAcceptance = fullAcceptance / 20
	// maxReportAge is the age from which a load report counts for nothing.
	maxReportAge = 5 * time.Second
	// targetRateWindow is the time constant of the rate that drain progress shows.
	targetRateWindow = 2 * time.Second
)

func newTarget(u Upstream, p *Pool) *Target {
	t := &Target{info: u, pool: p, slots: u.Slots, slowStartAt: -1}
	t.acceptance.Store(fullAcceptance)
	t.setCostFactor(1)
	return t
}

// Upstream returns the platform's entry as it was when the target was added.
func (t *Target) Upstream() Upstream { return t.info }

// InFlight returns the number of own requests that have begun and not finished.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Begin counts a request as in flight. Finish must follow exactly once.
func (t *Target) Begin() {
	t.inFlight.Add(1)
	t.sent.Add(1)
}

// Finish ends a request and learns from its outcome.
func (t *Target) Finish(o Outcome) {
	t.inFlight.Add(-1)
	t.pool.finish(t, o)
}

// cost estimates how long a further request would wait.
func (t *Target) cost() float64 {
	load := float64(t.inFlight.Load()) + math.Float64frombits(t.otherLoad.Load())
	return (load + 1) * math.Float64frombits(t.costPerRequest.Load())
}

func (t *Target) setCostFactor(f float64) {
	t.costPerRequest.Store(math.Float64bits(f / float64(max(1, t.slots))))
}

func (t *Target) eligible() bool {
	return !t.removed && !t.drained && !t.leaving.active() && !t.health.ejected
}

// beginSlowStart lets the target take its share gradually.
func (t *Target) beginSlowStart(now time.Duration) {
	t.slowStartAt = now
	t.acceptance.Store(minAcceptance)
}

func (t *Target) updateSlowStart(now time.Duration) {
	if t.slowStartAt < 0 {
		return
	}
	progress := float64(now-t.slowStartAt) / float64(slowStartTime)
	if progress >= 1 {
		t.slowStartAt = -1
		t.acceptance.Store(fullAcceptance)
		return
	}
	t.acceptance.Store(max(minAcceptance, uint32(progress*fullAcceptance)))
}

// updateRate updates the rate of requests sent.
func (t *Target) updateRate(dt time.Duration) {
	if dt <= 0 {
		return
	}
	sent := t.sent.Load()
	observed := float64(sent-t.sentAtTick) / dt.Seconds()
	t.sentAtTick = sent
	t.rate += (observed - t.rate) * smoothingFactor(dt, targetRateWindow)
}

// refresh recomputes what the request path reads. typical is the pool's median
// latency and othersMean the mean of the reported loads.
func (t *Target) refresh(now, median time.Duration, meanOtherLoad float64) {
	otherLoad := 0.0
	if t.report.known && now-t.report.measuredAt <= maxReportAge {
		otherLoad = t.report.otherLoad
	}
	if t.health.overridesReport(median) {
		// A report of little load is not believed while own requests fail or are slow.
		otherLoad = max(otherLoad, meanOtherLoad)
	}
	t.otherLoad.Store(math.Float64bits(otherLoad))
	t.setCostFactor(t.health.costFactor(median))
}
