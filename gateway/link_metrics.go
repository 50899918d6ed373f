package gateway

import (
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/metric"
)

// linkGauges creates the metrics of long responses on a slow link, and returns what observes them.
func linkGauges(meter metric.Meter, g *Gateway) (func(metric.Observer), []metric.Observable, error) {
	active, err := meter.Int64ObservableGauge("pm_gateway_long_responses",
		metric.WithDescription("Long responses in progress that take turns on a slow link."))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	chunks, err := meter.Int64ObservableCounter("pm_gateway_link_chunks",
		metric.WithDescription("Chunks of long responses that have had a turn on a slow link."))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	waited, err := meter.Float64ObservableCounter("pm_gateway_link_wait", metric.WithUnit("s"),
		metric.WithDescription("Time that chunks of long responses waited for their turns."))
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	observe := func(obs metric.Observer) {
		stats := g.server.LongResponses()
		obs.ObserveInt64(active, int64(stats.Active))
		obs.ObserveInt64(chunks, int64(stats.Chunks))
		obs.ObserveFloat64(waited, stats.Waited.Seconds())
	}
	return observe, []metric.Observable{active, chunks, waited}, nil
}
