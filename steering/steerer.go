package steering

import (
	"sync"
	"sync/atomic"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// Steerer chooses regions and upstreams. ChooseRegions, RetryBudget and the methods of
// their results are meant for the request path; other methods may block for
// microseconds. The methods of Steerer are safe for concurrent use.
type Steerer struct {
	clock clock.Clock
	rng   Rand

	tables atomic.Pointer[tables]

	mu                  sync.Mutex
	lastTick            clock.Instant
	now                 time.Duration // sum of the time between ticks
	rampPointsPerSecond float64
	regionIndex         map[string]int
	targets             map[string]*Target // by upstream ID
	config              Config
}

const (
	// maxStep bounds the time by which ramps and limits advance in one tick, so that they
	// do not jump after a pause of the process.
	maxStep = time.Second
	// staleRampFactor slows a ramp into a region whose reports are stale. It does not stop
	// the ramp, because an accepted document must take effect eventually.
	staleRampFactor = 0.1
)

// New returns a Steerer without rules and upstreams. If rng is nil, SystemRand is used.
func New(c clock.Clock, rng Rand) *Steerer {
	if rng == nil {
		rng = SystemRand{}
	}
	s := &Steerer{
		clock:               c,
		rng:                 rng,
		lastTick:            c.Now(),
		rampPointsPerSecond: DefaultRampPointsPerSecond,
		regionIndex:         make(map[string]int),
		targets:             make(map[string]*Target),
	}
	s.tables.Store(&tables{})
	return s
}

// ChooseRegions returns the regions for a request in order of preference. The caller
// uses the first one for which its grants permit the request. It does not allocate.
func (s *Steerer) ChooseRegions(r Request) (RegionOrder, error) {
	c := s.tables.Load().resolve(r.Service, r.Customer, r.From)
	if c == nil {
		return RegionOrder{}, ErrNoRule
	}
	c.requests.Add(1)
	o := RegionOrder{service: c.service, shares: c.shares.Load(), mayProbe: r.Idempotent}
	o.rng.Seed(s.rng.Uint64(), 0)
	return o, nil
}

// RetryBudget returns the retry and hedge budget of a service. It returns false for an
// unknown service.
func (s *Steerer) RetryBudget(name string) (*RetryBudget, bool) {
	svc := s.tables.Load().services[name]
	if svc == nil {
		return nil, false
	}
	return &svc.budget, true
}

// Pool returns the pool of a service in a region. It returns false when there is none.
func (s *Steerer) Pool(service, region string) (*Pool, bool) {
	t := s.tables.Load()
	svc := t.services[service]
	for i, name := range t.regions {
		if svc != nil && name == region {
			p := svc.pools[i].Load()
			return p, p != nil
		}
	}
	return nil, false
}

// Shares returns the effective region shares for a request in percent, for status output.
func (s *Steerer) Shares(r Request) []Weight {
	t := s.tables.Load()
	c := t.resolve(r.Service, r.Customer, r.From)
	if c == nil {
		return nil
	}
	sh := c.shares.Load()
	var out []Weight
	for i := range sh.n {
		if sh.effective[i] > 0 {
			out = append(out, Weight{Region: t.regions[i], Percent: 100 * float64(sh.effective[i])})
		}
	}
	return out
}

// Tick advances ramps, limits, ejections, slow starts and estimates to the current
// time. Without ticks the last shares remain in force.
func (s *Steerer) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	instant := s.clock.Now()
	dt := max(0, instant.ElapsedSince(s.lastTick))
	s.lastTick = instant
	s.now += dt
	step := min(dt, maxStep)
	t := s.tables.Load()
	for _, svc := range t.services {
		svc.tickPools(s.now, dt, step)
		svc.budget.tick(step)
	}
	s.tickClasses(t, dt, step)
}

// tickClasses advances the ramps, limits and shares. Steerer.mu is held.
func (s *Steerer) tickClasses(t *tables, dt, step time.Duration) {
	gain := smoothingFactor(dt, classRateWindow)
	for svc, classes := range t.byService {
		for _, c := range classes {
			c.updateRate(dt, gain)
			c.ramped = c.ramping
			if c.ramping {
				c.ramp(s.rampStep(c, step))
			}
		}
		svc.tickRegions(classes, s.now, step, s.rampPointsPerSecond*step.Seconds(), len(t.regions))
	}
	if next := t.dropOrphans(); next != t {
		s.tables.Store(next)
	}
}

// rampStep returns how far a class may move in a step, in percentage points.
func (s *Steerer) rampStep(c *trafficClass, step time.Duration) float64 {
	points := s.rampPointsPerSecond * step.Seconds()
	if c.raisesStaleRegion(s.now) {
		return points * staleRampFactor
	}
	return points
}

// ReportRegion records the measured load of a region. Reports of unknown services and
// regions are ignored.
func (s *Steerer) ReportRegion(r RegionReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.regionIndex[r.Region]
	svc := s.tables.Load().services[r.Service]
	if ok && svc != nil {
		svc.regions[i].recordReport(r.Load, s.now-r.Age, s.now)
	}
}

// ReportLoad records the load report of an upstream. Reports of unknown upstreams are ignored.
func (s *Steerer) ReportLoad(r LoadReport) {
	s.mu.Lock()
	t := s.targets[r.UpstreamID]
	now := s.now
	s.mu.Unlock()
	if t == nil || r.InFlight < 0 {
		return
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.report = reportedLoad{
		inFlight:   r.InFlight,
		otherLoad:  max(0, float64(r.InFlight)-float64(t.inFlight.Load())),
		measuredAt: now - r.Age,
		known:      true,
	}
	t.refresh(t.pool.now, t.pool.medianLatency, t.pool.meanOtherLoad)
}
