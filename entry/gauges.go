package entry

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// gauges holds the metrics that are computed when they are collected, so that they
// cost nothing on the request path.
type gauges struct {
	daemon *Daemon

	grants, permitsInUse, permitsWaiting, permitsHeld, upstreams metric.Int64ObservableGauge
	drains                                                       metric.Float64ObservableGauge
	renewalsFailed, pollsFailed, retries, jobs                   metric.Int64ObservableCounter
}

func registerGauges(meter metric.Meter, d *Daemon) error {
	g := &gauges{daemon: d}
	if err := g.create(meter); err != nil {
		return errors.Trace(err)
	}
	_, err := meter.RegisterCallback(g.observe, g.grants, g.permitsInUse, g.permitsWaiting, g.permitsHeld, g.upstreams,
		g.drains, g.renewalsFailed, g.pollsFailed, g.retries, g.jobs)
	return errors.Trace(err)
}

func (g *gauges) create(meter metric.Meter) error {
	for _, gauge := range []struct {
		to         *metric.Int64ObservableGauge
		name, help string
	}{
		{&g.grants, "pm_grants_held", "Resources of which this VM holds a valid grant, by kind."},
		{&g.permitsInUse, "pm_turns_in_use", "Requests that hold a permit, by service."},
		{&g.permitsWaiting, "pm_turns_waiting", "Requests that wait for a permit, by service."},
		{&g.permitsHeld, "pm_turns_held", "Permits that the granted slots allow, by service."},
		{&g.upstreams, "pm_upstreams", "Upstreams by service, region and state."},
	} {
		var err error
		if *gauge.to, err = meter.Int64ObservableGauge(gauge.name, metric.WithDescription(gauge.help)); err != nil {
			return errors.Trace(err)
		}
	}
	for _, counter := range []struct {
		to         *metric.Int64ObservableCounter
		name, help string
	}{
		{&g.renewalsFailed, "pm_renewals_failed", "Renewals of grants that failed."},
		{&g.pollsFailed, "pm_polls_failed", "Polls for the configuration that failed or were not confirmed."},
		{&g.retries, "pm_retries", "Retries and hedges requested, by service and result."},
		{&g.jobs, "pm_jobs_run", "Deferred jobs taken by this VM, by result."},
	} {
		var err error
		if *counter.to, err = meter.Int64ObservableCounter(counter.name, metric.WithDescription(counter.help)); err != nil {
			return errors.Trace(err)
		}
	}
	var err error
	g.drains, err = meter.Float64ObservableGauge("pm_drain_remaining", metric.WithUnit("1"),
		metric.WithDescription("Fraction of its share before the drain that a drained region or upstream still gets."))
	return errors.Trace(err)
}

func (g *gauges) observe(_ context.Context, obs metric.Observer) error {
	d := g.daemon
	obs.ObserveInt64(g.pollsFailed, int64(d.syncer.loop.failedPolls.Load()))
	obs.ObserveInt64(g.renewalsFailed, int64(d.renewer.failedRenewals.Load()))
	obs.ObserveInt64(g.jobs, int64(d.jobs.ended.Load()), attributes("result", "ended"))
	obs.ObserveInt64(g.jobs, int64(d.jobs.requeued.Load()), attributes("result", "requeued"))
	obs.ObserveInt64(g.jobs, int64(d.jobs.unknown.Load()), attributes("result", "unknown"))
	for kind, n := range d.grants.heldByKind() {
		obs.ObserveInt64(g.grants, int64(n), attributes("kind", kind))
	}
	g.observePermits(obs)
	g.observeSteering(obs)
	return nil
}

func (g *gauges) observePermits(obs metric.Observer) {
	g.daemon.queue.each(func(name string, s *servicePermits) {
		service := attributes("service", name)
		obs.ObserveInt64(g.permitsInUse, s.inUse.Load(), service)
		obs.ObserveInt64(g.permitsHeld, s.capacity.Load(), service)
		obs.ObserveInt64(g.permitsWaiting, int64(s.queue.Waiting()), service)
		if budget, ok := g.daemon.steerer.RetryBudget(name); ok {
			granted, rejected := budget.Counts()
			obs.ObserveInt64(g.retries, int64(granted), attributes("service", name, "result", "granted"))
			obs.ObserveInt64(g.retries, int64(rejected), attributes("service", name, "result", "refused"))
		}
	})
}

func (g *gauges) observeSteering(obs metric.Observer) {
	for _, r := range g.daemon.steerer.Status() {
		for state, n := range map[string]int{
			"eligible": r.Upstreams.Eligible, "warming": r.Upstreams.Warming,
			"ejected": r.Upstreams.Ejected, "leaving": r.Upstreams.Leaving,
		} {
			obs.ObserveInt64(g.upstreams, int64(n), attributes("service", r.Service, "region", r.Region, "state", state))
		}
	}
	for _, r := range g.daemon.steerer.Drains() {
		obs.ObserveFloat64(g.drains, r.Remaining(), attributes("service", r.Service, "region", r.Region, "upstream", r.Upstream))
	}
}

// attributes returns attributes from alternating names and values.
func attributes(pairs ...string) metric.MeasurementOption {
	var list []attribute.KeyValue
	for i := 0; i+1 < len(pairs); i += 2 {
		list = append(list, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(list...)
}
