package steering

import (
	"math"
	"time"
)

const (
	// ejectAfter consecutive failures or rejections eject an upstream. Fewer would
	// let one bad burst of requests empty a small pool.
	ejectAfter = 5
	// firstBackoff and maxBackoff bound the time an upstream stays ejected; it
	// doubles with each ejection.
	firstBackoff = 1 * time.Second
	maxBackoff   = 60 * time.Second
	// forgetAfter without an ejection, the back-off starts anew.
	forgetAfter = 60 * time.Second
	// latencyGain is the weight of a new latency sample, slowGain that of one above
	// the average: slowness must show within a few requests.
	latencyGain = 0.1
	slowGain    = 0.3
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
	failures  int // consecutive
	latency   time.Duration
	sampledAt time.Duration
	failedAt  time.Duration
	ejected   bool
	until     time.Duration // end of the ejection
	ejectedAt time.Duration
	ejections int  // in a row
	probation bool // returned and not yet successful
}

func (h *health) observe(latency, now time.Duration) {
	h.sampledAt = now
	if h.latency == 0 {
		h.latency = latency
		return
	}
	gain := latencyGain
	if latency > h.latency {
		gain = slowGain
	}
	h.latency += time.Duration(float64(latency-h.latency) * gain)
}

// decay moves the average of an upstream without recent samples toward typical
// and forgets old failures except for a first failure on return.
func (h *health) decay(now, dt, typical time.Duration) {
	if h.failures > 0 && !h.ejected && now-h.failedAt > failureDecay {
		h.failures, h.probation = 0, true
	}
	if h.latency == 0 || typical == 0 || now-h.sampledAt < time.Second {
		return
	}
	h.latency += time.Duration(float64(typical-h.latency) * smoothing(dt, latencyDecay))
}

func (h *health) ratio(typical time.Duration) float64 {
	if h.latency == 0 || typical <= 0 {
		return 1
	}
	return float64(h.latency) / float64(typical)
}

func (h *health) overrules(typical time.Duration) bool {
	return h.failures > 0 || h.ratio(typical) > slowRatio
}

func (h *health) factor(typical time.Duration) float64 {
	slow := min(max(h.ratio(typical)/latencyTolerance, 1), maxLatencyFactor)
	return slow * float64(1+min(h.failures, maxFailureFactor))
}

func (h *health) succeeded(now time.Duration) {
	h.failures = 0
	h.probation = false
	if now-h.ejectedAt > forgetAfter {
		h.ejections = 0
	}
}

// mustEject reports whether the failures so far call for an ejection. An
// upstream that has just returned is ejected at its first failure.
func (h *health) mustEject() bool {
	return h.failures >= ejectAfter || (h.probation && h.failures > 0)
}

// eject ends the use of the upstream for a back-off period with a jitter of 20%,
// so that entry VMs do not return to it all at once.
func (h *health) eject(now time.Duration, jitter float64) {
	h.ejected, h.ejectedAt = true, now
	h.until = now + backoff(h.ejections, firstBackoff, maxBackoff, jitter)
	h.ejections++
}

// backoff doubles first n times up to limit and varies the result by 20%.
func backoff(n int, first, limit time.Duration, jitter float64) time.Duration {
	d := float64(first) * math.Pow(2, float64(min(n, 16)))
	return time.Duration(min(d, float64(limit)) * (0.8 + 0.4*jitter))
}

// returned ends an ejection.
func (h *health) returned() {
	h.ejected = false
	h.failures = 0
	h.probation = true
}
