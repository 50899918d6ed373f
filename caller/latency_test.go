package caller

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/clock"
)

// Guards against percentile errors above the width of a histogram bucket.
func TestPercentileErrorIsWithinBucketWidth(t *testing.T) {
	is := is.New(t)
	l, err := newLatencies()
	is.NoErr(err)
	l.record("other", 10*time.Microsecond)
	for ms := 1; ms <= 10_000; ms++ {
		l.record("sol", time.Duration(ms)*time.Millisecond)
	}
	all, perCustomer, err := l.collect()
	is.NoErr(err)
	near := func(got, want float64) { is.True(math.Abs(got-want) <= 0.025*want) }
	near(all.P50, 5000)
	near(perCustomer["sol"].P50, 5000)
	near(perCustomer["sol"].P99, 9900)
	near(perCustomer["sol"].P999, 9990)
	is.Equal(perCustomer["sol"].Max, 10_000.0)
	near(perCustomer["other"].P99, 0.01)
}

// Guards against unbounded requests in flight while responses are delayed.
func TestRequestsAboveMaxInFlightAreNotSent(t *testing.T) {
	is := is.New(t)
	customer := Customer{Name: "sol", Rate: 1e6}
	results, err := newResultCollector([]Customer{customer})
	is.NoErr(err)
	full := make(chan struct{}, 1)
	full <- struct{}{}
	s := &sender{config: Config{Requests: 5, Clock: clock.NewSystem()}}
	sendLoop(context.Background(), s, customer, full, results)
	summary, err := results.finish()
	is.NoErr(err)
	is.Equal(summary.NotSent, 5)
	is.Equal(summary.Requests, 0)
}
