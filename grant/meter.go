package grant

import (
	"math"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// demandTau is the averaging time of reported demand. Shorter times make shares
// follow the noise of Poisson arrivals; jumps are reported at once regardless.
const demandTau = 2 * time.Second

// jumpSigmas is how many standard deviations of a Poisson count separate a jump
// of demand from noise.
const jumpSigmas = 3

// meter measures arrivals per second between renewals.
type meter struct {
	since   clock.Instant
	count   float64 // amount that arrived since
	events  float64 // number of arrivals since
	average float64
	size    float64 // mean amount of one arrival
	started bool
}

func (m *meter) add(amount float64) {
	m.count += amount
	m.events++
}

// recent returns the arrival rate since the last roll and its standard error.
func (m *meter) recent(now clock.Instant) (rate, sigma float64) {
	dt := leastElapsed(now, m.since).Seconds()
	if dt <= 0 || m.events == 0 {
		return 0, 0
	}
	rate = m.count / dt
	return rate, rate / math.Sqrt(m.events)
}

// roll closes the current interval and returns the demand to report.
func (m *meter) roll(now clock.Instant) float64 {
	dt := leastElapsed(now, m.since)
	rate, sigma := m.recent(now)
	if m.events > 0 {
		m.size = m.count / m.events
	}
	m.since, m.count, m.events = now, 0, 0
	if dt <= 0 {
		return m.average
	}
	jumped := math.Abs(rate-m.average) > jumpSigmas*max(sigma, m.expectedSigma(dt))
	if !m.started || jumped {
		m.started = rate > 0
		m.average = rate
		return rate
	}
	m.average += (rate - m.average) * (1 - math.Exp(-dt.Seconds()/demandTau.Seconds()))
	return m.average
}

// expectedSigma is the standard error of a rate counted over dt if the average
// still holds.
func (m *meter) expectedSigma(dt time.Duration) float64 {
	return math.Sqrt(m.average * m.size / dt.Seconds())
}
