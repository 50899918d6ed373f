package steering

import (
	"math"
	"time"
)

const (
	// ejectionThreshold consecutive failures or rejections eject an upstream. With a lower
	// threshold one bad burst of requests could empty a small pool.
	ejectionThreshold = 5
	// baseEjectionTime and maxEjectionTime bound the duration of an ejection before
	// jitter. It doubles with each consecutive ejection.
	baseEjectionTime = 1 * time.Second
	maxEjectionTime  = 60 * time.Second
	// ejectionResetTime is the time after the last ejection from which a success resets
	// the back-off.
	ejectionResetTime = 60 * time.Second
	// latencyFallGain is the weight of a latency sample below the average, latencyRiseGain
	// of one above it. The latter is larger so that slowness shows within a few requests.
	latencyFallGain = 0.1
	latencyRiseGain = 0.3
	// latencyDecay is the time constant at which the average latency of an upstream
	// without new samples returns to the pool's median. Without it, an upstream that was
	// slow once would never be tried again.
	latencyDecay = 10 * time.Second
	// slowRatio is the ratio to the pool's median latency above which an upstream is slow.
	slowRatio = 2.0
	// latencyTolerance is the ratio to the median up to which latency adds no cost.
	// Averages always differ slightly, and an idle service would send everything to the
	// upstream with the lowest one.
	latencyTolerance = 1.3
	// failureDecay is the time without a failure after which earlier failures no longer
	// add to the cost. Without it, an upstream that could not be ejected would never be
	// tried again.
	failureDecay = 10 * time.Second
	// maxLatencyFactor bounds the cost of slowness so that load still matters.
	maxLatencyFactor = 20.0
	// maxFailureFactor bounds the cost of consecutive failures.
	maxFailureFactor = 10
)

// health is the state of an upstream as observed by requests of this VM. Pool.mu
// guards it.
type health struct {
	consecutiveFailures  int
	latency              time.Duration
	sampledAt            time.Duration
	failedAt             time.Duration
	ejected              bool
	ejectedUntil         time.Duration
	ejectedAt            time.Duration
	consecutiveEjections int
	probation            bool // the next failure ejects, until a success ends this
}

// observe adds a latency sample to the average.
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

// decay moves the average latency of an upstream without recent samples toward median
// and clears old failures. The upstream is then on probation, so that its next failure
// ejects it.
func (h *health) decay(now, dt, median time.Duration) {
	if h.consecutiveFailures > 0 && !h.ejected && now-h.failedAt > failureDecay {
		h.consecutiveFailures, h.probation = 0, true
	}
	if h.latency == 0 || median == 0 || now-h.sampledAt < time.Second {
		return
	}
	h.latency += time.Duration(float64(median-h.latency) * smoothingFactor(dt, latencyDecay))
}

// latencyRatio returns the average latency relative to the pool's median, 1 when unknown.
func (h *health) latencyRatio(median time.Duration) float64 {
	if h.latency == 0 || median <= 0 {
		return 1
	}
	return float64(h.latency) / float64(median)
}

// overridesReport reports whether failures or slowness contradict a report of low load.
func (h *health) overridesReport(median time.Duration) bool {
	return h.consecutiveFailures > 0 || h.latencyRatio(median) > slowRatio
}

// costFactor returns the cost of a request relative to a healthy upstream.
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

// shouldEject reports whether the failures so far require an ejection. An upstream on
// probation is ejected at its first failure.
func (h *health) shouldEject() bool {
	return h.consecutiveFailures >= ejectionThreshold || (h.probation && h.consecutiveFailures > 0)
}

// eject takes the upstream out of use for a back-off period. The jitter of 20% keeps
// entry VMs from returning to it all at once.
func (h *health) eject(now time.Duration, jitter float64) {
	h.ejected, h.ejectedAt = true, now
	h.ejectedUntil = now + backoff(h.consecutiveEjections, baseEjectionTime, maxEjectionTime, jitter)
	h.consecutiveEjections++
}

// backoff doubles first n times up to limit and varies the result by 20%. jitter is in
// [0, 1).
func backoff(n int, first, limit time.Duration, jitter float64) time.Duration {
	d := float64(first) * math.Pow(2, float64(min(n, 16)))
	return time.Duration(min(d, float64(limit)) * (0.8 + 0.4*jitter))
}

// endEjection ends an ejection and puts the upstream on probation.
func (h *health) endEjection() {
	h.ejected = false
	h.consecutiveFailures = 0
	h.probation = true
}
