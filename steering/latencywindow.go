package steering

import (
	"time"

	"github.com/beorn7/perks/quantile"
)

const (
	// hedgeQuantile of recent latencies is the hedge delay: about one request in twenty
	// takes longer, which is within the retry budget of one in ten.
	hedgeQuantile      = 0.95
	hedgeQuantileError = 0.005
	// minHedgeSamples samples are needed before the first hedge. Of 100 samples, five lie
	// above the percentile.
	minHedgeSamples = 100
	// latencyPeriod is how long one estimator collects samples. The previous estimate is
	// used until the next period has enough samples.
	latencyPeriod = 30 * time.Second
	// estimateInterval is the time between estimates; each one sorts the samples.
	estimateInterval = time.Second
)

// latencyWindow estimates a high percentile of recent latencies. Pool.mu guards it.
type latencyWindow struct {
	stream    *quantile.Stream
	startedAt time.Duration
	nextAt    time.Duration
	estimate  time.Duration
	previous  time.Duration // estimate of the previous period, 0 when it had too few samples
}

func (w *latencyWindow) reset() {
	w.stream = quantile.NewTargeted(map[float64]float64{hedgeQuantile: hedgeQuantileError})
}

func (w *latencyWindow) observe(d time.Duration) {
	w.stream.Insert(float64(d))
}

// tick returns the current estimate, 0 when there are too few samples.
func (w *latencyWindow) tick(now time.Duration) time.Duration {
	if now < w.nextAt {
		return w.estimate
	}
	w.nextAt = now + estimateInterval
	w.estimate = w.previous
	if w.stream.Count() >= minHedgeSamples {
		w.estimate = time.Duration(w.stream.Query(hedgeQuantile))
	}
	if now-w.startedAt >= latencyPeriod {
		w.rotate(now)
	}
	return w.estimate
}

// rotate starts a new period and keeps the estimate of the ended one.
func (w *latencyWindow) rotate(now time.Duration) {
	w.previous = 0
	if w.stream.Count() >= minHedgeSamples {
		w.previous = w.estimate
	}
	w.stream.Reset()
	w.startedAt = now
}
