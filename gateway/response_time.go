package gateway

import (
	"math"
	"time"
)

const (
	// minAverage, in seconds, keeps the ratio of a latency to the average finite.
	minAverage = 0.001
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.05
	// slowDeviations is how many mean deviations above the average a slow response takes. With 0.3 of the
	// requests cold and these taking 1/0.3 of the others' time, it includes cold responses.
	slowDeviations = 2
)

// responseTime holds moving averages of a route's response time and of its deviation from the average, in
// seconds.
type responseTime struct {
	average, deviation float64
}

// firstResponseTime returns the averages after the first sample. One sample says nothing about the deviation;
// as for retransmission timeouts (RFC 6298), half of it is assumed.
func firstResponseTime(sample float64) responseTime {
	return responseTime{average: sample, deviation: sample / 2}
}

// add returns the averages with another sample.
func (t responseTime) add(sample float64) responseTime {
	t.deviation += averageWeight * (math.Abs(sample-t.average) - t.deviation)
	t.average += averageWeight * (sample - t.average)
	return t
}

// slow returns the time that a slow response takes.
func (t responseTime) slow() time.Duration {
	return time.Duration((t.average + slowDeviations*t.deviation) * float64(time.Second))
}
