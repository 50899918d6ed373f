package grant

import (
	"math"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// demandEvents is the number of arrivals that an average covers. Few arrivals
	// make a noisy average, but one that is high where a small bucket was just
	// drawn on: of steady load at 12 holders 0.09% was refused within the rate
	// with 4, 0.10% with 40.
	demandEvents = 4
	// demandTau and maxDemandTau bound the time that an average covers.
	demandTau    = 2 * time.Second
	maxDemandTau = 30 * time.Second
	// recentTau is the time over which a change of small demand is looked for.
	recentTau = time.Second
	// holdTime is how long reported demand outlasts a drop, so that a share
	// outlasts the pauses between bursts.
	holdTime = 1100 * time.Millisecond
	// jumpSigmas is how many standard deviations of a Poisson count separate a
	// jump from noise; jumpEvents is the allowance where few are expected.
	jumpSigmas = 3
	jumpEvents = 2
	// idleEvents is how many arrivals must have been due during a silence before
	// demand counts as gone; by chance that happens once in 150 silences.
	idleEvents = 5
)

// window is an amount that arrived and the seconds in which it did.
type window struct{ amount, span float64 }

func (w window) rate() float64 {
	if w.span <= 0 {
		return 0
	}
	return w.amount / w.span
}

// extend adds an interval and forgets what exceeds limit seconds.
func (w *window) extend(interval window, limit float64) {
	w.amount += interval.amount
	w.span += interval.span
	if w.span > limit {
		w.amount *= limit / w.span
		w.span = limit
	}
}

// meter measures arrivals per second between renewals.
type meter struct {
	since  clock.Instant
	count  float64 // amount that arrived since
	events float64 // number of arrivals since

	average  window  // gives the demand reported last
	recent   window  // covers recentTau
	size     float64 // mean amount of one arrival
	silent   float64 // seconds without arrivals before since
	low      bool    // demand is below the average since lowSince
	lowSince clock.Instant
}

func (m *meter) add(amount float64) {
	m.count += amount
	m.events++
}

// interval returns the arrivals since the last roll.
func (m *meter) interval(now clock.Instant) window {
	return window{amount: m.count, span: leastElapsed(now, m.since).Seconds()}
}

// meanSize returns the mean amount of one arrival.
func (m *meter) meanSize() float64 {
	if m.events > 0 {
		return m.count / m.events
	}
	return m.size
}

// noise returns the deviation to be expected in w if the average still holds.
func (m *meter) noise(w window) float64 {
	return jumpSigmas * math.Sqrt(m.average.rate()*m.meanSize()/w.span)
}

// exceeds reports whether arrivals in w are above the average by more than noise.
func (m *meter) exceeds(w window) bool {
	return w.span > 0 && w.rate()-m.average.rate() > m.noise(w)+jumpEvents*m.meanSize()/w.span
}

// jumped reports whether arrivals since the last roll exceed the noise and rate.
func (m *meter) jumped(now clock.Instant, rate float64) bool {
	w := m.interval(now)
	return w.rate() > rate && m.exceeds(w)
}

// roll closes the current interval and returns the demand to report.
func (m *meter) roll(now clock.Instant) float64 {
	w := m.interval(now)
	if w.span <= 0 {
		return m.average.rate()
	}
	m.recent.extend(w, recentTau.Seconds())
	fell := m.fell(w)
	m.size = m.meanSize()
	switch {
	case m.average.span == 0 || m.exceeds(w):
		m.average, m.low = w, false
	case m.exceeds(m.recent):
		m.average, m.low = m.recent, false
	case fell:
		m.fall(w, now)
	default:
		m.low = false
		m.average.extend(w, m.averagingTime())
	}
	m.since, m.count, m.events = now, 0, 0
	return m.average.rate()
}

// averagingTime is the time in which demandEvents arrive, within bounds.
func (m *meter) averagingTime() float64 {
	tau := maxDemandTau.Seconds()
	if rate := m.average.rate(); rate > 0 {
		tau = min(tau, demandEvents*m.size/rate)
	}
	return max(tau, demandTau.Seconds())
}

// fell reports whether arrivals in w are below the average by more than noise,
// or have been silent for too long to be noise.
func (m *meter) fell(w window) bool {
	if m.events > 0 {
		m.silent = 0
	} else {
		m.silent += w.span
	}
	if m.average.rate()-w.rate() > m.noise(w) {
		return true
	}
	return m.events == 0 && m.size > 0 && m.average.rate()/m.size*m.silent > idleEvents
}

// fall follows demand that dropped only after holdTime.
func (m *meter) fall(w window, now clock.Instant) {
	if !m.low {
		m.low, m.lowSince = true, m.since
	}
	if leastElapsed(now, m.lowSince) >= holdTime {
		m.average, m.recent, m.low = w, w, false
	}
}
