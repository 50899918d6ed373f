package caller

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
)

// maxHistogramBuckets covers latencies from 10 µs to 60 s (a factor of 2^23) with
// buckets of at most 2.2% width (32 per doubling).
const maxHistogramBuckets = 736

// Percentiles holds latency percentiles in milliseconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

// latencies records latencies in one OpenTelemetry histogram per customer and one
// of all requests.
type latencies struct {
	reader      *sdkmetric.ManualReader
	all         metric.Float64Histogram
	perCustomer metric.Float64Histogram
}

func newLatencies() (*latencies, error) {
	l := &latencies{reader: sdkmetric.NewManualReader()}
	view := sdkmetric.NewView(sdkmetric.Instrument{Name: "*"}, sdkmetric.Stream{
		Aggregation: sdkmetric.AggregationBase2ExponentialHistogram{MaxSize: maxHistogramBuckets, MaxScale: 20},
	})
	meter := sdkmetric.NewMeterProvider(
		sdkmetric.WithReader(l.reader), sdkmetric.WithView(view), sdkmetric.WithCardinalityLimit(maxCustomers+1),
	).Meter("caller")
	var err error
	if l.all, err = meter.Float64Histogram("all", metric.WithUnit("ms")); err != nil {
		return nil, errors.Trace(err)
	}
	l.perCustomer, err = meter.Float64Histogram("each", metric.WithUnit("ms"))
	return l, errors.Trace(err)
}

func (l *latencies) record(customer string, latency time.Duration) {
	ms := float64(latency) / float64(time.Millisecond)
	l.all.Record(context.Background(), ms)
	l.perCustomer.Record(context.Background(), ms, metric.WithAttributes(attribute.String("customer", customer)))
}

// collect returns the percentiles of all requests and those of each customer.
func (l *latencies) collect() (Percentiles, map[string]Percentiles, error) {
	var data metricdata.ResourceMetrics
	if err := l.reader.Collect(context.Background(), &data); err != nil {
		return Percentiles{}, nil, errors.Trace(err)
	}
	var all Percentiles
	perCustomer := map[string]Percentiles{}
	for _, scope := range data.ScopeMetrics {
		for _, collected := range scope.Metrics {
			histogram, ok := collected.Data.(metricdata.ExponentialHistogram[float64])
			if !ok {
				continue
			}
			for _, point := range histogram.DataPoints {
				if customer, ok := point.Attributes.Value("customer"); ok {
					perCustomer[customer.AsString()] = percentiles(point)
				} else {
					all = percentiles(point)
				}
			}
		}
	}
	return all, perCustomer, nil
}

func percentiles(point metricdata.ExponentialHistogramDataPoint[float64]) Percentiles {
	highest, _ := point.Max.Value()
	return Percentiles{
		P50:  quantile(point, 0.5, highest),
		P99:  quantile(point, 0.99, highest),
		P999: quantile(point, 0.999, highest),
		Max:  highest,
	}
}

// quantile returns the upper bound of the bucket that contains the quantile q, at
// most the highest recorded value.
func quantile(point metricdata.ExponentialHistogramDataPoint[float64], q, highest float64) float64 {
	rank := uint64(math.Ceil(q * float64(point.Count)))
	seen := point.ZeroCount
	if seen >= rank {
		return 0
	}
	for i, count := range point.PositiveBucket.Counts {
		if seen += count; seen >= rank {
			index := float64(point.PositiveBucket.Offset) + float64(i) + 1
			return min(highest, math.Exp2(math.Ldexp(index, int(-point.Scale))))
		}
	}
	return highest
}
