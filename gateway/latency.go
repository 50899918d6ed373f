package gateway

import (
	"sync"
	"time"
)

// minAverage keeps the ratio of an answer to the usual time finite, in seconds.
const minAverage = 0.001

// averageWeight is the weight of one answer in the moving average.
const averageWeight = 0.05

// latencyAverages keeps how long answers of each route usually take.
type latencyAverages struct {
	mu    sync.Mutex
	times map[string]float64 // seconds, by route
}

func newLatencyAverages() *latencyAverages { return &latencyAverages{times: map[string]float64{}} }

// record takes in one answer and returns its time as a multiple of the usual one.
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

// average returns how long an answer average a route usually takes, 0 if there was none.
func (l *latencyAverages) average(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.times[route] * float64(time.Second))
}
