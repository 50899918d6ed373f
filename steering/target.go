package steering

import (
	"math"
	"sync/atomic"
	"time"
)

// Target is the state of an upstream for the request path. Its methods are safe for
// concurrent use. An upstream that left the platform's list and returned is a new Target.
type Target struct {
	info Upstream
	pool *Pool

	inFlight       atomic.Int64
	sent           atomic.Uint64
	otherLoad      atomic.Uint64 // reported load without requests of this VM, as float bits
	costPerRequest atomic.Uint64 // cost factor over slots, as float bits
	acceptance     atomic.Uint32 // probability of being picked in slow start, in units of 1/fullAcceptance

	// Pool.mu guards the fields below.
	slots       int
	leaving     leaving
	drained     bool // by the document
	removed     bool // from the platform's list
	health      health
	report      reportedLoad
	slowStartAt time.Duration // start of slow start, negative when complete

	sentAtTick  uint64
	rate        float64 // requests per second
	shareBefore float64 // share of the service's requests when leaving or draining began
}

// reportedLoad is the last load report of the upstream.
type reportedLoad struct {
	inFlight   int
	otherLoad  float64
	measuredAt time.Duration
	known      bool
}

const (
	fullAcceptance = 1 << 16
	// slowStartTime is how long a new or returned upstream takes to reach its full share,
	// because its caches are cold.
	slowStartTime = 10 * time.Second
	// minAcceptance is the acceptance at the start of slow start. With 0, an upstream of
	// an idle service would get no request and stay cold.
	minAcceptance = fullAcceptance / 20
	// maxReportAge is the age after which a load report is ignored.
	maxReportAge = 5 * time.Second
	// targetRateWindow is the time constant of the request rate that drain progress shows.
	targetRateWindow = 2 * time.Second
)

func newTarget(u Upstream, p *Pool) *Target {
	t := &Target{info: u, pool: p, slots: u.Slots, slowStartAt: -1}
	t.acceptance.Store(fullAcceptance)
	t.setCostFactor(1)
	return t
}

// Upstream returns the entry of the platform's list from when the target was added.
func (t *Target) Upstream() Upstream { return t.info }

// InFlight returns the number of requests of this VM that have begun and not finished.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Begin counts a request as in flight. Finish must follow exactly once.
func (t *Target) Begin() {
	t.inFlight.Add(1)
	t.sent.Add(1)
}

// Finish ends a request and updates the upstream's health from its outcome.
func (t *Target) Finish(o Outcome) {
	t.inFlight.Add(-1)
	t.pool.finish(t, o)
}

// cost estimates how long one more request would wait, relative to the other upstreams.
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

// beginSlowStart restarts the gradual increase of the target's share.
func (t *Target) beginSlowStart(now time.Duration) {
	t.slowStartAt = now
	t.acceptance.Store(minAcceptance)
}

// updateSlowStart raises the acceptance in proportion to the time since slow start began.
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

// updateRate updates the rate of sent requests.
func (t *Target) updateRate(dt time.Duration) {
	if dt <= 0 {
		return
	}
	sent := t.sent.Load()
	observed := float64(sent-t.sentAtTick) / dt.Seconds()
	t.sentAtTick = sent
	t.rate += (observed - t.rate) * smoothingFactor(dt, targetRateWindow)
}

// refresh recomputes the values that the request path reads. median is the pool's
// median latency and meanOtherLoad the mean load that its upstreams report for other VMs.
func (t *Target) refresh(now, median time.Duration, meanOtherLoad float64) {
	otherLoad := 0.0
	if t.report.known && now-t.report.measuredAt <= maxReportAge {
		otherLoad = t.report.otherLoad
	}
	if t.health.overridesReport(median) {
		// A report of low load is not trusted while requests of this VM fail or are slow.
		otherLoad = max(otherLoad, meanOtherLoad)
	}
	t.otherLoad.Store(math.Float64bits(otherLoad))
	t.setCostFactor(t.health.costFactor(median))
}
