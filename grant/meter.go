package grant

import (
	"math"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// averagedEvents is the number of arrivals that an average covers. Few arrivals
	// make a noisy average, but one that is high where a small bucket was just
	// drawn on: of steady load at 12 holders 0.09% was refused within the rate
	// with 4, 0.10% with 40.
	averagedEvents = 4
	// demandTau and maxDemandTau bound the time that an average covers.
	demandTau    = 2 * time.Second
	maxDemandTau = 30 * time.Second
	// recentTau is the time over which a change of small demand is looked for.
	recentTau = time.Second
	// demandHoldTime is how long reported demand outlasts a drop, so that a share
	// outlasts the pauses between bursts.
	demandHoldTime = 1100 * time.Millisecond
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

	average      window  // gives the demand reported last
	recent       window  // covers recentTau
	lastMeanSize float64 // mean amount of one arrival
	idleSeconds  float64 // seconds without arrivals before since
	below        bool    // demand is below the average since lowSince
	belowSince   clock.Instant
}

func (m *meter) add(amount float64) {
	m.count += amount
	m.events++
}

// interval returns the arrivals since the last roll.
func (m *meter) interval(now clock.Instant) window {
	return window{amount: m.count, span: minElapsed(now, m.since).Seconds()}
}

// meanSize returns the mean amount of one arrival.
func (m *meter) meanSize() float64 {
	if m.events > 0 {
		return m.count / m.events
	}
	return m.lastMeanSize
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

// closeInterval closes the current interval and returns the demand to report.
func (m *meter) closeInterval(now clock.Instant) float64 {
	w := m.interval(now)
	if w.span <= 0 {
		return m.average.rate()
	}
	m.recent.extend(w, recentTau.Seconds())
	fell := m.hasFallen(w)
	m.lastMeanSize = m.meanSize()
	switch {
	case m.average.span == 0 || m.exceeds(w):
		m.average, m.below = w, false
	case m.exceeds(m.recent):
		m.average, m.below = m.recent, false
	case fell:
		m.applyDecrease(w, now)
	default:
		m.below = false
		m.average.extend(w, m.averagingTime())
	}
	m.since, m.count, m.events = now, 0, 0
	return m.average.rate()
}

// averagingTime is the time in which demandEvents arrive, within bounds.
func (m *meter) averagingTime() float64 {
	tau := maxDemandTau.Seconds()
	if rate := m.average.rate(); rate > 0 {
		tau = min(tau, averagedEvents*m.lastMeanSize/rate)
	}
	return max(tau, demandTau.Seconds())
}

// hasFallen reports whether arrivals in w are below the average by more than noise,
// or have been silent for too long to be noise.
func (m *meter) hasFallen(w window) bool {
	if m.events > 0 {
		m.idleSeconds = 0
	} else {
		m.idleSeconds += w.span
	}
	if m.average.rate()-w.rate() > m.noise(w) {
		return true
	}
	return m.events == 0 && m.lastMeanSize > 0 && m.average.rate()/m.lastMeanSize*m.idleSeconds > idleEvents
}

// applyDecrease follows demand that dropped only after holdTime.
func (m *meter) applyDecrease(w window, now clock.Instant) {
	if !m.below {
		m.below, m.belowSince = true, m.since
	}
	if minElapsed(now, m.belowSince) >= demandHoldTime {
		m.average, m.recent, m.below = w, w, false
	}
}
