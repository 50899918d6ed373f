package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/inventory"
)

const (
	// upstreamListInterval is how often the leader reads the list of upstreams.
	// Entry VMs receive it with their next renewal, up to 1 s later. An upstream must
	// get no new requests 3 s after the list shows it as leaving.
	upstreamListInterval = 900 * time.Millisecond
	// longListInterval is the same for a list that takes longListCalls calls or more, to spare
	// the platform: entry VMs still have it 2.5 s after the platform.
	longListInterval = 1100 * time.Millisecond
	longListCalls    = 10
	// upstreamListCheckInterval is how often a daemon checks whether it leads and
	// the list is due.
	upstreamListCheckInterval = 150 * time.Millisecond
	// maxEarlyListAge is the age up to which a list that was read before the election is sent
	// to entry VMs. The leader reads the next one right after it.
	maxEarlyListAge = 2 * time.Second
	// upstreamListTimeout bounds one read of the list.
	upstreamListTimeout = 2 * time.Second
)

// pollUpstreamList reads the list of upstreams for all entry VMs while this daemon
// leads. If each VM read the list itself, the platform would get many times the calls.
func (o *ownership) pollUpstreamList(ctx context.Context, engine *Engine) {
	if o.cfg.Lister == nil {
		return
	}
	reader := listReader{lister: o.cfg.Lister, clock: o.cfg.Clock, log: o.cfg.Log}
	for ctx.Err() == nil {
		sleep(ctx, upstreamListCheckInterval)
		t, err := o.leadingTerm(ctx, engine)
		switch {
		case err != nil:
		case t == nil:
			reader.followElection(ctx, engine.election(ctx))
		case !t.hasList() && reader.hasEarly():
			o.updateList(t, reader.early.upstreams, reader.early.requestedAt)
			reader.early = nil
		case !t.hasList() || t.list.Age() >= listInterval(o.cfg.Lister.Calls()):
			if read, ok := reader.read(ctx); ok {
				o.updateList(t, read.upstreams, read.requestedAt)
			}
		}
	}
}

// hasList reports whether a list was read or confirmed during this term.
func (t *termState) hasList() bool { return t.list.Version() > t.list.BaseVersion() }

// election returns what this daemon knows of the election for the environment of the plan.
func (e *Engine) election(ctx context.Context) election {
	l, err := e.leadership(ctx, apipb.Environment_ENVIRONMENT_PLAN, "")
	switch {
	case err != nil || l.version == nil || l.elected:
		return electionUnclear
	case l.leader == "":
		return electionOpen
	}
	return electionLost
}

// updateList puts a list that was read in force for the term.
func (o *ownership) updateList(t *termState, list []inventory.Upstream, requestedAt clock.Instant) {
	o.mu.Lock()
	services := t.services
	o.mu.Unlock()
	t.list.Update(inventory.Unique(list, func(service string) bool { return services[service] }), requestedAt)
}

// listInterval returns how often the list is read if one read takes the given number of
// calls.
func listInterval(calls int) time.Duration {
	if calls >= longListCalls {
		return longListInterval
	}
	return upstreamListInterval
}

// leadingTerm returns the term state of the plan environment, or nil if this daemon
// does not lead.
func (o *ownership) leadingTerm(ctx context.Context, engine *Engine) (*termState, error) {
	l, err := engine.leadership(ctx, apipb.Environment_ENVIRONMENT_PLAN, "")
	if err != nil || !l.valid {
		return nil, errors.Trace(err)
	}
	return o.termStateFor(ctx, engine, apipb.Environment_ENVIRONMENT_PLAN, &l)
}

// addUpstreamList adds the changes of the upstream list since the caller's version.
func (t *termState) addUpstreamList(reply *apipb.RenewReply, request *apipb.RenewRequest, now clock.Instant) error {
	have := request.HaveListVersion
	if request.AcceptsCompactList && t.list.Version() > t.list.BaseVersion() && t.list.NeedsWhole(have) {
		raw, version, err := t.compactList.get(t.list, now)
		if err != nil {
			return errors.Trace(err)
		}
		reply.ListVersion, reply.ListWhole, reply.CompactList = version, true, raw
		reply.ListAgeMs = uint32(t.list.Age().Milliseconds())
		return nil
	}
	changed, removed, whole, ok := t.list.Changes(have)
	if !ok {
		return nil
	}
	reply.ListVersion, reply.UpstreamsGone, reply.ListWhole = t.list.Version(), removed, whole
	reply.ListAgeMs = uint32(t.list.Age().Milliseconds())
	for _, u := range changed {
		reply.Upstreams = append(reply.Upstreams, &apipb.UpstreamEntry{
			Id: u.ID, Service: u.Service, Address: u.Address.String(), Region: u.Region, FailureDomain: u.FailureDomain,
			Leaving: u.State == inventory.Leaving, Slots: uint32(u.Slots), ColdMs: uint32(u.Cold.Milliseconds()),
		})
	}
	return nil
}
