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

	inFlight atomic.Int64
	sent     atomic.Uint64
	others   atomic.Uint64 // reported load that is not own, as float bits
	factor   atomic.Uint64 // cost of one request, as float bits
	warmth   atomic.Uint32 // acceptance during slow start, of fullWarmth

	// Pool.mu guards the rest.
	slots    int
	leaving  leaving
	drained  bool // by the document
	removed  bool // from the platform's list
	health   health
	report   loadState
	warmFrom time.Duration // start of slow start, negative when over

	sentSeen    uint64
	rate        float64 // requests per second
	shareBefore float64 // of the service's requests, when it began to leave
}

// loadState is the upstream's last own report.
type loadState struct {
	inFlight   int
	others     float64
	measuredAt time.Duration
	known      bool
}

const (
	fullWarmth = 1 << 16
	// slowStart is how long a new or returned upstream takes to its full share; its
	// caches are cold.
	slowStart = 10 * time.Second
	// minWarmth is the acceptance at the begin of slow start; with 0 an idle
	// service would never warm it.
	minWarmth = fullWarmth / 20
	// maxReportAge is the age from which a load report counts for nothing.
	maxReportAge = 5 * time.Second
	// sentWindow is the time constant of the rate that drain progress shows.
	sentWindow = 2 * time.Second
)

func newTarget(u Upstream, p *Pool) *Target {
	t := &Target{info: u, pool: p, slots: u.Slots, warmFrom: -1}
	t.warmth.Store(fullWarmth)
	t.setFactor(1)
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
	load := float64(t.inFlight.Load()) + math.Float64frombits(t.others.Load())
	return (load + 1) * math.Float64frombits(t.factor.Load())
}

func (t *Target) setFactor(f float64) {
	t.factor.Store(math.Float64bits(f / float64(max(1, t.slots))))
}

func (t *Target) eligible() bool {
	return !t.removed && !t.drained && !t.leaving.active() && !t.health.ejected
}

// beginSlowStart lets the target take its share gradually.
func (t *Target) beginSlowStart(now time.Duration) {
	t.warmFrom = now
	t.warmth.Store(minWarmth)
}

func (t *Target) warm(now time.Duration) {
	if t.warmFrom < 0 {
		return
	}
	part := float64(now-t.warmFrom) / float64(slowStart)
	if part >= 1 {
		t.warmFrom = -1
		t.warmth.Store(fullWarmth)
		return
	}
	t.warmth.Store(max(minWarmth, uint32(part*fullWarmth)))
}

// measure updates the rate of requests sent.
func (t *Target) measure(dt time.Duration) {
	if dt <= 0 {
		return
	}
	sent := t.sent.Load()
	now := float64(sent-t.sentSeen) / dt.Seconds()
	t.sentSeen = sent
	t.rate += (now - t.rate) * smoothing(dt, sentWindow)
}

// refresh recomputes what the request path reads. typical is the pool's median
// latency and othersMean the mean of the reported loads.
func (t *Target) refresh(now, typical time.Duration, othersMean float64) {
	others := 0.0
	if t.report.known && now-t.report.measuredAt <= maxReportAge {
		others = t.report.others
	}
	if t.health.overrules(typical) {
		// A report of little load is not believed while own requests fail or are slow.
		others = max(others, othersMean)
	}
	t.others.Store(math.Float64bits(others))
	t.setFactor(t.health.factor(typical))
}
