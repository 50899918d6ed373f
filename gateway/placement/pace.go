package placement

import (
	"sync"
	"time"
)

const (
	// paceWindow is the span over which shares of regions are compared.
	paceWindow = 2 * time.Second
	// paceSteps is how many parts a window is counted in.
	paceSteps = 8
	// paceLimit is the share of requests that may change their region from one
	// window to the next. The platform allows 0.15 over all VMs of a region; the rest
	// is for what several VMs add up to and for requests that are still on their way.
	paceLimit = 0.08
	// paceSample is how many requests a window needs to say anything.
	paceSample = 12
)

// Pace bounds how fast the requests of one entry VM move between regions, so that
// a shift of load does not land on cold caches all at once. It answers load that
// jumps or collapses within a second. It is safe for concurrent use.
type Pace struct {
	mu     sync.Mutex
	origin time.Time
	// counts are the requests by region in the steps of the last two windows.
	counts [2 * paceSteps]map[string]float64
	at     int64 // step of the newest count
	lifted time.Time
}

// NewPace returns a pace that begins now.
func NewPace(now time.Time) *Pace { return &Pace{origin: now} }

// Lift lets requests move freely until the given time, after an outage.
func (p *Pace) Lift(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.lifted) {
		p.lifted = until
	}
}

// Count notes that a request goes to a region.
func (p *Pace) Count(now time.Time, region string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.step(now)
	if p.counts[i] == nil {
		p.counts[i] = map[string]float64{}
	}
	p.counts[i][region]++
}

// step clears what has left the windows and returns the place of now.
func (p *Pace) step(now time.Time) int {
	at := max(int64(now.Sub(p.origin)/(paceWindow/paceSteps)), p.at)
	for i := max(p.at+1, at-int64(len(p.counts))+1); i <= at; i++ {
		p.counts[i%int64(len(p.counts))] = nil
	}
	p.at = at
	return int(at % int64(len(p.counts)))
}

// windows returns the requests by region in the current window and in the one before.
func (p *Pace) windows(now time.Time) (current, before map[string]float64) {
	p.step(now)
	current, before = map[string]float64{}, map[string]float64{}
	for back := range int64(len(p.counts)) {
		at := p.at - back
		if at < 0 {
			break
		}
		into := current
		if back >= paceSteps {
			into = before
		}
		for region, n := range p.counts[at%int64(len(p.counts))] {
			into[region] += n
		}
	}
	return current, before
}

// Allowed returns a function that tells whether a request may go to a region now.
func (p *Pace) Allowed(now time.Time) func(region string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.lifted) {
		return func(string) bool { return true }
	}
	current, before := p.windows(now)
	n0, n1 := total(before), total(current)
	if n0 < paceSample {
		return func(string) bool { return true }
	}
	moved := 0.0
	for region, n := range current {
		moved += max(0, n/max(n1, 1)-before[region]/n0)
	}
	return func(region string) bool {
		grown := (current[region]+1)/(n1+1) - before[region]/n0
		return grown <= 0 || moved <= paceLimit
	}
}

func total(counts map[string]float64) float64 {
	sum := 0.0
	for _, n := range counts {
		sum += n
	}
	return sum
}
