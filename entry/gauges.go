package entry

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// gauges are the metrics of the daemon that are read when they are collected, so
// that they cost nothing on the path of a request.
type gauges struct {
	daemon *Daemon

	grants, turnsInUse, turnsWaiting, turnsHeld, upstreams metric.Int64ObservableGauge
	drains                                                 metric.Float64ObservableGauge
	renewalsFailed, pollsFailed, retries, jobs             metric.Int64ObservableCounter
}

func registerGauges(meter metric.Meter, d *Daemon) error {
	g := &gauges{daemon: d}
	if err := g.create(meter); err != nil {
		return errors.Trace(err)
	}
	_, err := meter.RegisterCallback(g.observe, g.grants, g.turnsInUse, g.turnsWaiting, g.turnsHeld, g.upstreams,
		g.drains, g.renewalsFailed, g.pollsFailed, g.retries, g.jobs)
	return errors.Trace(err)
}

func (g *gauges) create(meter metric.Meter) error {
	for _, one := range []struct {
		to         *metric.Int64ObservableGauge
		name, help string
	}{
		{&g.grants, "pm_grants_held", "Resources of which this VM holds a valid grant, by kind."},
		{&g.turnsInUse, "pm_turns_in_use", "Requests that hold a turn, by service."},
		{&g.turnsWaiting, "pm_turns_waiting", "Requests that wait for a turn, by service."},
		{&g.turnsHeld, "pm_turns_held", "Turns that the slots held allow, by service."},
		{&g.upstreams, "pm_upstreams", "Upstreams by service, region and what is done with them."},
	} {
		var err error
		if *one.to, err = meter.Int64ObservableGauge(one.name, metric.WithDescription(one.help)); err != nil {
			return errors.Trace(err)
		}
	}
	for _, one := range []struct {
		to         *metric.Int64ObservableCounter
		name, help string
	}{
		{&g.renewalsFailed, "pm_renewals_failed", "Renewals of grants that failed."},
		{&g.pollsFailed, "pm_polls_failed", "Polls for the document that failed or were not confirmed."},
		{&g.retries, "pm_retries", "Retries and hedges asked for, by service and result."},
		{&g.jobs, "pm_jobs_run", "Deferred jobs taken by this VM, by result."},
	} {
		var err error
		if *one.to, err = meter.Int64ObservableCounter(one.name, metric.WithDescription(one.help)); err != nil {
			return errors.Trace(err)
		}
	}
	var err error
	g.drains, err = meter.Float64ObservableGauge("pm_drain_remaining", metric.WithUnit("1"),
		metric.WithDescription("Part of its former share that a drained region or upstream still gets."))
	return errors.Trace(err)
}

func (g *gauges) observe(_ context.Context, obs metric.Observer) error {
	d := g.daemon
	obs.ObserveInt64(g.pollsFailed, int64(d.keeper.loop.failed.Load()))
	obs.ObserveInt64(g.renewalsFailed, int64(d.renewer.failed.Load()))
	obs.ObserveInt64(g.jobs, int64(d.jobs.ended.Load()), attributes("result", "ended"))
	obs.ObserveInt64(g.jobs, int64(d.jobs.requeued.Load()), attributes("result", "requeued"))
	obs.ObserveInt64(g.jobs, int64(d.jobs.unknown.Load()), attributes("result", "unknown"))
	for kind, n := range d.grants.held() {
		obs.ObserveInt64(g.grants, int64(n), attributes("kind", kind))
	}
	g.observeTurns(obs)
	g.observeSteering(obs)
	return nil
}

func (g *gauges) observeTurns(obs metric.Observer) {
	g.daemon.queue.each(func(name string, s *serviceTurns) {
		service := attributes("service", name)
		obs.ObserveInt64(g.turnsInUse, s.inUse.Load(), service)
		obs.ObserveInt64(g.turnsHeld, s.capacity.Load(), service)
		obs.ObserveInt64(g.turnsWaiting, int64(s.queue.Waiting()), service)
		if budget, ok := g.daemon.steerer.RetryBudget(name); ok {
			granted, refused := budget.Counts()
			obs.ObserveInt64(g.retries, int64(granted), attributes("service", name, "result", "granted"))
			obs.ObserveInt64(g.retries, int64(refused), attributes("service", name, "result", "refused"))
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

// attributes builds attributes from pairs of name and value.
func attributes(pairs ...string) metric.MeasurementOption {
	var list []attribute.KeyValue
	for i := 0; i+1 < len(pairs); i += 2 {
		list = append(list, attribute.String(pairs[i], pairs[i+1]))
	}
	return metric.WithAttributes(list...)
}
