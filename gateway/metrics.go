package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
)

// requestMetrics holds the metrics of a gateway. Their labels have few values: services and reasons,
// never customers or routes.
type requestMetrics struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	duration metric.Float64Histogram
	wait     metric.Float64Histogram
	// announcements counts changes in what upstreams announce.
	announcements metric.Int64Counter
	// limitedAttempts counts attempts at upstreams that had announced a limit.
	limitedAttempts metric.Int64Counter
	// rateTokens counts tokens of customers' rates that were taken, and those that were refunded.
	rateTokens metric.Int64Counter
	// streamed counts streamed responses by their end, and earlyBytes what was sent before the end arrived.
	streamed   metric.Int64Counter
	earlyBytes metric.Int64Counter
	// overCapacityRetries counts requests rejected for lack of capacity by whether their retry can meet
	// the target.
	overCapacityRetries metric.Int64Counter
	// rejections counts attempts that upstreams rejected without running them.
	rejections metric.Int64Counter
	// cuts counts responses that were cut while they were sent.
	cuts metric.Int64Counter
}

var durationBounds = metric.WithExplicitBucketBoundaries(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 30)

func newRequestMetrics(meter metric.Meter, g *Gateway) (*requestMetrics, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	m := &requestMetrics{}
	var err error
	if m.requests, err = meter.Int64Counter("pm_gateway_requests", metric.WithDescription("Requests by service, status class and reason.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.attempts, err = meter.Int64Counter("pm_gateway_offers", metric.WithDescription("Attempts at upstreams by service, region of the upstream and outcome; all but the first of a request are retries.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.duration, err = meter.Float64Histogram("pm_gateway_request_duration", metric.WithUnit("s"), durationBounds,
		metric.WithDescription("Time from the arrival of a request to its answer.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.wait, err = meter.Float64Histogram("pm_gateway_wait", metric.WithUnit("s"), durationBounds,
		metric.WithDescription("Time that requests waited for a free slot at an upstream.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.announcements, err = meter.Int64Counter("pm_gateway_announcements",
		metric.WithDescription("Changes in what upstreams announce in their responses, by service and change.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.limitedAttempts, err = meter.Int64Counter("pm_gateway_limited_attempts",
		metric.WithDescription("Attempts at upstreams that had announced a limit of requests per second, by service.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.rateTokens, err = meter.Int64Counter("pm_gateway_rate_tokens",
		metric.WithDescription("Tokens of customers' rates by event: taken, or refunded because the request was sent to no upstream.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.streamed, err = meter.Int64Counter("pm_gateway_streamed_responses",
		metric.WithDescription("Long responses sent to callers while they arrived, by service and end: complete, cut by the upstream, or left by the caller.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.earlyBytes, err = meter.Int64Counter("pm_gateway_streamed_early", metric.WithUnit("By"),
		metric.WithDescription("Bytes of streamed responses sent to callers before the end of the response had arrived, by service.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.overCapacityRetries, err = meter.Int64Counter("pm_gateway_over_capacity_retries",
		metric.WithDescription("Requests rejected for lack of capacity, by service and whether their retry can meet the target.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.rejections, err = meter.Int64Counter("pm_gateway_rejections",
		metric.WithDescription("Attempts that upstreams rejected without running them, by service and reason: full, or free_slots if the upstream reported that it had free slots.")); err != nil {
		return nil, errors.Trace(err)
	}
	if m.cuts, err = meter.Int64Counter("pm_gateway_cut_responses",
		metric.WithDescription("Responses that were cut while they were sent, by reason and event: serving, or stopping in a planned stop.")); err != nil {
		return nil, errors.Trace(err)
	}
	return m, errors.Trace(registerGauges(meter, g))
}

func registerGauges(meter metric.Meter, g *Gateway) error {
	viewAge, err := meter.Float64ObservableGauge("pm_gateway_view_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the plan was last confirmed; -1 before the first confirmation."))
	if err != nil {
		return errors.Trace(err)
	}
	upstreams, err := meter.Int64ObservableGauge("pm_gateway_upstreams", metric.WithDescription("Upstreams that accept requests, by service."))
	if err != nil {
		return errors.Trace(err)
	}
	running, err := meter.Int64ObservableGauge("pm_gateway_running", metric.WithDescription("Requests of this VM running at upstreams, by service."))
	if err != nil {
		return errors.Trace(err)
	}
	waiting, err := meter.Int64ObservableGauge("pm_gateway_waiting", metric.WithDescription("Requests that wait for a free slot, by service."))
	if err != nil {
		return errors.Trace(err)
	}
	fleet, err := meter.Int64ObservableGauge("pm_gateway_fleet", metric.WithDescription("Entry VMs known to this one."))
	if err != nil {
		return errors.Trace(err)
	}
	homeShare, err := meter.Float64ObservableGauge("pm_gateway_home_share",
		metric.WithDescription("Share of objects that are assigned to upstreams of the VM's region, by service."))
	if err != nil {
		return errors.Trace(err)
	}
	dials, err := meter.Int64ObservableCounter("pm_gateway_connections_opened", metric.WithDescription("Connections opened to upstreams."))
	if err != nil {
		return errors.Trace(err)
	}
	pauses, err := meter.Int64ObservableCounter("pm_gateway_pauses",
		metric.WithDescription("Pauses of the process, in which it was stopped or its VM suspended."))
	if err != nil {
		return errors.Trace(err)
	}
	pauseTime, err := meter.Float64ObservableCounter("pm_gateway_paused", metric.WithUnit("s"),
		metric.WithDescription("Total length of the pauses of the process."))
	if err != nil {
		return errors.Trace(err)
	}
	limited, err := meter.Int64ObservableGauge("pm_gateway_limited_upstreams",
		metric.WithDescription("Upstreams that have announced a limit of requests per second, by service."))
	if err != nil {
		return errors.Trace(err)
	}
	paced, err := meter.Int64ObservableGauge("pm_gateway_paced_upstreams",
		metric.WithDescription("Upstreams that get a growing number of requests after a start or a recovery, by service."))
	if err != nil {
		return errors.Trace(err)
	}
	passedOver, err := meter.Int64ObservableCounter("pm_gateway_passed_over_slow",
		metric.WithDescription("Requests that were placed elsewhere because the upstream of their object was slow, by service."))
	if err != nil {
		return errors.Trace(err)
	}
	shares, err := meter.Float64ObservableGauge("pm_gateway_region_share",
		metric.WithDescription("Share of this VM's requests by region in the last two seconds, of those that may run in any region."))
	if err != nil {
		return errors.Trace(err)
	}
	references, err := meter.Float64ObservableGauge("pm_gateway_region_reference_share",
		metric.WithDescription("Share of this VM's requests by region that the bound on shifts between regions allows now."))
	if err != nil {
		return errors.Trace(err)
	}
	observeLink, linkInstruments, err := linkGauges(meter, g)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, obs metric.Observer) error {
		obs.ObserveFloat64(viewAge, g.viewAge())
		obs.ObserveInt64(fleet, int64(len(g.follower.Fleet())))
		obs.ObserveInt64(dials, int64(g.pool.Dials.Load()))
		observeLink(obs)
		count, total := g.follower.Paused()
		obs.ObserveInt64(pauses, int64(count))
		obs.ObserveFloat64(pauseTime, total.Seconds())
		state := g.shiftLimiter.State(time.Now())
		for region, share := range state.Counted {
			obs.ObserveFloat64(shares, share, metric.WithAttributes(attribute.String("region", region)))
		}
		for region, share := range state.Reference {
			obs.ObserveFloat64(references, share, metric.WithAttributes(attribute.String("region", region)))
		}
		for name, s := range *g.services.Load() {
			attributes := metric.WithAttributes(attribute.String("service", name))
			s.permits.withTable(func(_ time.Time, table *placement.Table) {
				obs.ObserveInt64(upstreams, int64(table.LiveUpstreams()), attributes)
				obs.ObserveInt64(limited, int64(table.LimitedUpstreams()), attributes)
				obs.ObserveInt64(paced, int64(table.PacedUpstreams()), attributes)
				obs.ObserveInt64(running, int64(table.RunningRequests()), attributes)
				obs.ObserveInt64(waiting, int64(s.permits.queue.Len()), attributes)
				obs.ObserveFloat64(homeShare, table.HomeShare(), attributes)
				obs.ObserveInt64(passedOver, int64(table.PassedOverSlow()), attributes)
			})
		}
		return nil
	}, append(linkInstruments, viewAge, upstreams, limited, paced, running, waiting, fleet, homeShare, dials, pauses, pauseTime, passedOver, shares, references)...)
	return errors.Trace(err)
}

// viewAge returns the seconds since the plan was last confirmed, -1 before the first confirmation.
func (g *Gateway) viewAge() float64 {
	age, ok := g.follower.View().Age(g.cfg.Clock.Now())
	if !ok {
		return -1
	}
	return age.Seconds()
}

// recordRequest records a request that has ended.
func (m *requestMetrics) recordRequest(service string, status int, reason Reason, took, waited time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("status_class", statusClass(status)), attribute.String("reason", string(reason))))
	attributes := metric.WithAttributes(attribute.String("service", service))
	m.duration.Record(ctx, took.Seconds(), attributes)
	m.wait.Record(ctx, waited.Seconds(), attributes)
}

// countAnnouncement counts a change in what an upstream announces.
func (m *requestMetrics) countAnnouncement(service string, change announce.Change) {
	m.announcements.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("change", string(change))))
}

// countLimitedAttempt counts an attempt at an upstream that had announced a limit.
func (m *requestMetrics) countLimitedAttempt(service string) {
	m.limitedAttempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

// Events of tokens of customers' rates.
const (
	tokenTaken    = "taken"
	tokenRefunded = "refunded"
)

// countRateToken counts an event of a token.
func (m *requestMetrics) countRateToken(event string) {
	m.rateTokens.Add(context.Background(), 1, metric.WithAttributes(attribute.String("event", event)))
}

// Ends of streamed responses.
const (
	streamComplete = "complete"
	streamCut      = "cut"
	streamLeft     = "left"
)

// countStreamed counts a streamed response that has ended.
func (m *requestMetrics) countStreamed(service string, end egress.StreamEnd) {
	how := streamLeft
	switch {
	case end.Complete:
		how = streamComplete
	case end.Cut:
		how = streamCut
	}
	m.streamed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("end", how)))
	m.earlyBytes.Add(context.Background(), end.Early, metric.WithAttributes(attribute.String("service", service)))
}

// Events of requests rejected for lack of capacity.
const (
	retryInTime = "in_time"
	retryLate   = "late"
)

// countRetryAfter counts a request rejected for lack of capacity.
func (m *requestMetrics) countRetryAfter(service string, inTime bool) {
	event := retryLate
	if inTime {
		event = retryInTime
	}
	m.overCapacityRetries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("event", event)))
}

// States of the VM in which a response was cut.
const (
	cutServing  = "serving"
	cutStopping = "stopping"
)

// countCut counts a response that was cut while it was sent.
func (m *requestMetrics) countCut(cut ingress.Cut) {
	event := cutServing
	if cut.Stopping {
		event = cutStopping
	}
	m.cuts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("reason", string(cut.Cause)), attribute.String("event", event)))
}

// countAttempt counts an attempt at an upstream.
func (m *requestMetrics) countAttempt(service, region, outcome string) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("region", region), attribute.String("outcome", outcome)))
}

var statusClasses = [...]string{"aborted", "1xx", "2xx", "3xx", "4xx", "5xx"}

// statusClass returns "2xx" and so on, and "aborted" for status 0.
func statusClass(status int) string {
	if class := status / 100; class >= 0 && class < len(statusClasses) {
		return statusClasses[class]
	}
	return "other"
}
