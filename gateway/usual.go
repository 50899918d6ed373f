package gateway

import (
	"sync"
	"time"
)

// leastUsual keeps the ratio of an answer to the usual time finite, in seconds.
const leastUsual = 0.001

// usualWeight is the weight of one answer in the moving average.
const usualWeight = 0.05

// usual keeps how long answers of each route usually take.
type usual struct {
	mu    sync.Mutex
	times map[string]float64 // seconds, by route
}

func newUsual() *usual { return &usual{times: map[string]float64{}} }

// compare takes in one answer and returns its time as a multiple of the usual one.
func (u *usual) compare(route string, took time.Duration) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	before, known := u.times[route]
	if !known {
		u.times[route] = took.Seconds()
		return 1
	}
	u.times[route] = before + usualWeight*(took.Seconds()-before)
	return took.Seconds() / max(before, leastUsual)
}

// of returns how long an answer of a route usually takes, 0 if there was none.
func (u *usual) of(route string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(u.times[route] * float64(time.Second))
}
