package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
)

// gaugeTimeout bounds the wait for the loop. If the loop is blocked for longer, the
// values are missing, which alerts detect.
const gaugeTimeout = 500 * time.Millisecond

// gauges reports the state of a daemon at each collection of metrics.
type gauges struct {
	daemon                        *Daemon
	leader, term, commit, applied metric.Int64ObservableGauge
	voter, holders, queued        metric.Int64ObservableGauge
	confirmationAge               metric.Float64ObservableGauge
}

// gaugeValues holds the values that are read from the loop.
type gaugeValues struct {
	status    consensus.Status
	applied   uint64
	age       time.Duration
	confirmed bool
	votes     bool
	queued    map[apipb.Environment]int
}

// registerGauges reports the daemon's state until the returned function is called.
func registerGauges(meter metric.Meter, d *Daemon) (func() error, error) {
	if meter == nil {
		return func() error { return nil }, nil
	}
	g := &gauges{daemon: d}
	instruments := []metric.Observable{}
	for _, i := range []struct {
		gauge             *metric.Int64ObservableGauge
		name, description string
	}{
		{&g.leader, "pm_control_leader", "1 if this daemon leads, otherwise 0."},
		{&g.voter, "pm_control_voter", "1 if this daemon votes and no voter is being replaced, otherwise 0."},
		{&g.term, "pm_control_term", "Consensus term."},
		{&g.commit, "pm_control_commit_index", "Last committed log entry known to this daemon."},
		{&g.applied, "pm_control_applied_index", "Last log entry applied to the store."},
		{&g.holders, "pm_control_holders", "Entry VMs that renew grants at this daemon, by environment; 0 on followers."},
		{&g.queued, "pm_control_jobs_queued", "Deferred jobs waiting to run, by environment."},
	} {
		gauge, err := meter.Int64ObservableGauge(i.name, metric.WithDescription(i.description))
		if err != nil {
			return nil, errors.Trace(err)
		}
		*i.gauge = gauge
		instruments = append(instruments, gauge)
	}
	var err error
	if g.confirmationAge, err = meter.Float64ObservableGauge("pm_control_confirmation_age", metric.WithUnit("s"),
		metric.WithDescription("Age of the last confirmation by a majority; -1 before the first.")); err != nil {
		return nil, errors.Trace(err)
	}
	registration, err := meter.RegisterCallback(g.observe, append(instruments, g.confirmationAge)...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return registration.Unregister, nil
}

func (g *gauges) observe(ctx context.Context, out metric.Observer) error {
	engine, err := g.daemon.currentEngine()
	if err != nil {
		return nil // no cluster yet
	}
	ctx, cancel := context.WithTimeout(ctx, gaugeTimeout)
	defer cancel()
	values, err := engine.gaugeValues(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	leads := values.status.Role == consensus.RoleLeader
	out.ObserveInt64(g.leader, map[bool]int64{true: 1}[leads])
	out.ObserveInt64(g.voter, map[bool]int64{true: 1}[values.votes])
	out.ObserveInt64(g.term, int64(values.status.Term))
	out.ObserveInt64(g.commit, int64(values.status.Commit))
	out.ObserveInt64(g.applied, int64(values.applied))
	age := -1.0
	if values.confirmed {
		age = values.age.Seconds()
	}
	out.ObserveFloat64(g.confirmationAge, age)
	for env, name := range environmentNames {
		attributes := metric.WithAttributes(attribute.String(attributeEnvironment, name))
		out.ObserveInt64(g.queued, int64(values.queued[env]), attributes)
		holders := 0
		if leads {
			holders = len(g.daemon.ownership.fleet(values.status.Term, env))
		}
		out.ObserveInt64(g.holders, int64(holders), attributes)
	}
	return nil
}

func (e *Engine) gaugeValues(ctx context.Context) (gaugeValues, error) {
	v := gaugeValues{queued: map[apipb.Environment]int{}}
	err := e.do(ctx, func() {
		v.status, v.applied = e.node.Status(), e.appliedIndex
		v.votes = e.member(e.cfg.Self.Id).GetVoter() && len(v.status.Members.GetOutgoingVoters()) == 0
		v.age, v.confirmed = e.confirmation.age(e.cfg.Clock.Now())
		for env := range environmentNames {
			v.queued[env] = e.store.QueuedJobs(env)
		}
	})
	return v, errors.Trace(err)
}
