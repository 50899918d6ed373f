package gateway

import (
	"sync"
	"time"
)

// minAverage, in seconds, keeps the ratio of a latency to the average finite.
const minAverage = 0.001

// averageWeight is the weight of a new sample in the moving average.
const averageWeight = 0.05

// latencyAverages holds a moving average of the response time of each route.
type latencyAverages struct {
	mu    sync.Mutex
	times map[string]float64 // seconds, by route
}

func newLatencyAverages() *latencyAverages { return &latencyAverages{times: map[string]float64{}} }

// record adds a sample and returns it as a multiple of the previous average.
func (l *latencyAverages) record(route string, took time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, known := l.times[route]
	if !known {
		l.times[route] = took.Seconds()
		return 1
	}
	l.times[route] = previous + averageWeight*(took.Seconds()-previous)
	return took.Seconds() / max(previous, minAverage)
}

// average returns the average response time of a route, 0 if there was none.
func (l *latencyAverages) average(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.times[route] * float64(time.Second))
}
