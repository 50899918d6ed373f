package gateway

import (
	"sync"
	"time"
)

// latencyAverages holds moving averages of the response time of each route.
type latencyAverages struct {
	mu    sync.Mutex
	times map[string]responseTime // by route
}

func newLatencyAverages() *latencyAverages {
	return &latencyAverages{times: map[string]responseTime{}}
}

// record adds a sample and returns it as a multiple of the previous average.
func (l *latencyAverages) record(route string, took time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, known := l.times[route]
	if !known {
		l.times[route] = firstResponseTime(took.Seconds())
		return 1
	}
	l.times[route] = previous.add(took.Seconds())
	return took.Seconds() / max(previous.average, minAverage)
}

// average returns the average response time of a route, 0 if there was none.
func (l *latencyAverages) average(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.times[route].average * float64(time.Second))
}

// slow returns the time that a slow response of a route takes, 0 if there was no response.
func (l *latencyAverages) slow(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.times[route].slow()
}
