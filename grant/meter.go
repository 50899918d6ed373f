package grant

import (
	"math"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// averagedEvents is the number of arrivals that an average covers. A short average is noisy, but
	// it is high where a small bucket was just drawn on: with 40 arrivals instead of 4, the
	// requests rejected within the rate rise from 0.09% to 0.10% at steady load on 12 holders.
	averagedEvents = 4
	// demandTau and maxDemandTau are the shortest and the longest time that an average covers.
	demandTau    = 2 * time.Second
	maxDemandTau = 30 * time.Second
	// recentTau is the time over which an increase of small demand is detected.
	recentTau = time.Second
	// demandHoldTime is how long reported demand stays up after a drop, so that a holder keeps its
	// share in the pauses between bursts.
	demandHoldTime = 1100 * time.Millisecond
	// jumpSigmas is the number of standard deviations of a Poisson count above which a change
	// is not noise; jumpEvents is an allowance in arrivals for when few are expected.
	jumpSigmas = 3
	jumpEvents = 2
	// idleEvents is the number of arrivals that must be missing before demand counts as
	// gone. A Poisson process of unchanged rate misses that many once in 150 idle periods.
	idleEvents = 5
)

// window is the amount that arrived in a span of seconds.
type window struct{ amount, span float64 }

func (w window) rate() float64 {
	if w.span <= 0 {
		return 0
	}
	return w.amount / w.span
}

// extend adds an interval and scales the window down to at most limit seconds.
func (w *window) extend(interval window, limit float64) {
	w.amount += interval.amount
	w.span += interval.span
	if w.span > limit {
		w.amount *= limit / w.span
		w.span = limit
	}
}

// meter estimates demand from the arrivals between renewals.
type meter struct {
	since  clock.Instant
	count  float64 // amount that arrived after since
	events float64 // number of arrivals after since

	average      window  // its rate is the demand reported last
	recent       window  // covers recentTau
	lastMeanSize float64 // mean amount per arrival when the last interval was closed
	idleSeconds  float64 // seconds without arrivals in the intervals before since
	below        bool    // demand has been below the average since belowSince
	belowSince   clock.Instant
}

func (m *meter) add(amount float64) {
	m.count += amount
	m.events++
}

// addOnes counts n arrivals of one each.
func (m *meter) addOnes(n int) {
	m.count += float64(n)
	m.events += float64(n)
}

// interval returns the arrivals of the current interval.
func (m *meter) interval(now clock.Instant) window {
	return window{amount: m.count, span: minElapsed(now, m.since).Seconds()}
}

// meanSize returns the mean amount per arrival.
func (m *meter) meanSize() float64 {
	if m.events > 0 {
		return m.count / m.events
	}
	return m.lastMeanSize
}

// noise returns the deviation of the rate in w that can occur if the average is unchanged.
func (m *meter) noise(w window) float64 {
	return jumpSigmas * math.Sqrt(m.average.rate()*m.meanSize()/w.span)
}

// exceeds reports whether the rate in w is above the average by more than noise.
func (m *meter) exceeds(w window) bool {
	return w.span > 0 && w.rate()-m.average.rate() > m.noise(w)+jumpEvents*m.meanSize()/w.span
}

// jumped reports whether arrivals in the current interval exceed both rate and the noise.
func (m *meter) jumped(now clock.Instant, rate float64) bool {
	w := m.interval(now)
	return w.rate() > rate && m.exceeds(w)
}

// closeInterval ends the current interval, begins the next and returns the demand to report.
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

// averagingTime returns the seconds in which averagedEvents arrive, within demandTau and
// maxDemandTau.
func (m *meter) averagingTime() float64 {
	tau := maxDemandTau.Seconds()
	if rate := m.average.rate(); rate > 0 {
		tau = min(tau, averagedEvents*m.lastMeanSize/rate)
	}
	return max(tau, demandTau.Seconds())
}

// hasFallen reports whether the rate in w is below the average by more than noise, or arrivals
// have been missing for longer than noise explains.
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

// applyDecrease lowers the average to the rate in w once demand has been below it for
// demandHoldTime.
func (m *meter) applyDecrease(w window, now clock.Instant) {
	if !m.below {
		m.below, m.belowSince = true, m.since
	}
	if minElapsed(now, m.belowSince) >= demandHoldTime {
		m.average, m.recent, m.below = w, w, false
	}
}
