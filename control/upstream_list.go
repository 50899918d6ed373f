package control

import (
	"context"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/inventory"
)

const (
	// listInterval is how often the leader reads the list of upstreams. Entry VMs get
	// it with their next renewal, up to 1 s later; an upstream that is leaving must
	// get nothing new 3 s after the list shows it.
	listInterval = 900 * time.Millisecond
	// listCheck is how often a daemon looks whether it leads and the list is due.
	listCheck = 150 * time.Millisecond
	// listTimeout bounds reading the list.
	listTimeout = 2 * time.Second
)

// followList reads the list of upstreams for all entry VMs while this daemon leads:
// reading it at each VM would cost the platform a multiple of the calls.
func (o *ownership) followList(ctx context.Context, engine *Engine) {
	if o.cfg.Lister == nil {
		return
	}
	failing := false
	for ctx.Err() == nil {
		wait(ctx, listCheck)
		t := o.leading(ctx, engine)
		if t == nil || t.list.Version() > t.list.BaseVersion() && t.list.Age() < listInterval {
			continue
		}
		asked := o.cfg.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := o.cfg.Lister.Upstreams(callCtx)
		cancel()
		if err == nil {
			t.list.Update(list, asked)
		} else if !failing && ctx.Err() == nil {
			o.cfg.Log.WithError(err).Warn("list of upstreams not read")
		}
		if err == nil && failing {
			o.cfg.Log.Info("list of upstreams read again")
		}
		failing = err != nil
	}
}

// leading returns the tenure of the plan's environment if this daemon leads.
func (o *ownership) leading(ctx context.Context, engine *Engine) *tenure {
	l, err := engine.leadership(ctx, apipb.Environment_ENVIRONMENT_PLAN)
	if err != nil || !l.valid {
		return nil
	}
	return o.tenure(apipb.Environment_ENVIRONMENT_PLAN, &l)
}

// addList adds what the caller lacks of the list.
func (t *tenure) addList(reply *apipb.RenewReply, have uint64) {
	changed, gone, whole, ok := t.list.Changes(have)
	if !ok {
		return
	}
	reply.ListVersion, reply.UpstreamsGone, reply.ListWhole = t.list.Version(), gone, whole
	reply.ListAgeMs = uint32(t.list.Age().Milliseconds())
	for _, u := range changed {
		reply.Upstreams = append(reply.Upstreams, &apipb.UpstreamEntry{
			Id: u.ID, Service: u.Service, Address: u.Address.String(), Region: u.Region, FailureDomain: u.FailureDomain,
			Leaving: u.State == inventory.Leaving, Slots: uint32(u.Slots), ColdMs: uint32(u.Cold.Milliseconds()),
		})
	}
}
