package steering

import (
	"math"
	"time"
)

const (
	// ejectionThreshold consecutive failures or rejections eject an upstream. Fewer would
	// let one bad burst of requests empty a small pool.
	ejectionThreshold = 5
	// baseEjectionTime and maxBackoff bound the time an upstream stays ejected; it
	// doubles with each ejection.
	baseEjectionTime = 1 * time.Second
	maxEjectionTime  = 60 * time.Second
	// ejectionResetTime without an ejection, the back-off starts anew.
	ejectionResetTime = 60 * time.Second
	// latencyFallGain is the weight of a new latency sample, slowGain that of one above
	// the average: slowness must show within a few requests.
	latencyFallGain = 0.1
	latencyRiseGain = 0.3
	// latencyDecay is the time constant at which the average of an upstream without
	// new samples returns to the pool's. Without it an upstream that was slow once
	// would never be tried again.
	latencyDecay = 10 * time.Second
	// slowRatio over the pool's median latency counts as slow.
	slowRatio = 2.0
	// latencyTolerance over the median costs nothing. Averages always differ a
	// little, and an idle service would send everything to the lowest one.
	latencyTolerance = 1.3
	// failureDecay without an outcome, past failures no longer add to the cost.
	// Otherwise an upstream that could not be ejected would never be tried again.
	failureDecay = 10 * time.Second
	// maxLatencyFactor bounds the cost of slowness so that load still counts.
	maxLatencyFactor = 20.0
	// maxFailureFactor bounds the cost of consecutive failures.
	maxFailureFactor = 10
)

// health is what own requests tell about an upstream. Pool.mu guards it.
type health struct {
	consecutiveFailures  int // consecutive
	latency              time.Duration
	sampledAt            time.Duration
	failedAt             time.Duration
	ejected              bool
	ejectedUntil         time.Duration // end of the ejection
	ejectedAt            time.Duration
	consecutiveEjections int  // in a row
	probation            bool // returned and not yet successful
}

func (h *health) observe(latency, now time.Duration) {
	h.sampledAt = now
	if h.latency == 0 {
		h.latency = latency
		return
	}
	gain := latencyFallGain
	if latency > h.latency {
		gain = latencyRiseGain
	}
	h.latency += time.Duration(float64(latency-h.latency) * gain)
}

// decay moves the average of an upstream without recent samples toward typical
// and forgets old failures except for a first failure on return.
func (h *health) decay(now, dt, median time.Duration) {
	if h.consecutiveFailures > 0 && !h.ejected && now-h.failedAt > failureDecay {
		h.consecutiveFailures, h.probation = 0, true
	}
	if h.latency == 0 || median == 0 || now-h.sampledAt < time.Second {
		return
	}
	h.latency += time.Duration(float64(median-h.latency) * smoothingFactor(dt, latencyDecay))
}

func (h *health) latencyRatio(median time.Duration) float64 {
	if h.latency == 0 || median <= 0 {
		return 1
	}
	return float64(h.latency) / float64(median)
}

func (h *health) overridesReport(median time.Duration) bool {
	return h.consecutiveFailures > 0 || h.latencyRatio(median) > slowRatio
}

func (h *health) costFactor(median time.Duration) float64 {
	slow := min(max(h.latencyRatio(median)/latencyTolerance, 1), maxLatencyFactor)
	return slow * float64(1+min(h.consecutiveFailures, maxFailureFactor))
}

func (h *health) recordSuccess(now time.Duration) {
	h.consecutiveFailures = 0
	h.probation = false
	if now-h.ejectedAt > ejectionResetTime {
		h.consecutiveEjections = 0
	}
}

// shouldEject reports whether the failures so far call for an ejection. An
// upstream that has just returned is ejected at its first failure.
func (h *health) shouldEject() bool {
	return h.consecutiveFailures >= ejectionThreshold || (h.probation && h.consecutiveFailures > 0)
}

// eject ends the use of the upstream for a back-off period with a jitter of 20%,
// so that entry VMs do not return to it all at once.
func (h *health) eject(now time.Duration, jitter float64) {
	h.ejected, h.ejectedAt = true, now
	h.ejectedUntil = now + backoff(h.consecutiveEjections, baseEjectionTime, maxEjectionTime, jitter)
	h.consecutiveEjections++
}

// backoff doubles first n times up to limit and varies the result by 20%.
func backoff(n int, first, limit time.Duration, jitter float64) time.Duration {
	d := float64(first) * math.Pow(2, float64(min(n, 16)))
	return time.Duration(min(d, float64(limit)) * (0.8 + 0.4*jitter))
}

// endEjection ends an ejection.
func (h *health) endEjection() {
	h.ejected = false
	h.consecutiveFailures = 0
	h.probation = true
}
