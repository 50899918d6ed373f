package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
)

// takeLeadersList takes in the list that the leader reads for all VMs.
func (g *Gateway) takeLeadersList(list []inventory.Upstream, changed bool, age time.Duration) {
	g.mu.Lock()
	g.listAsked = time.Now().Add(-age)
	changed = changed || !g.listed
	g.mu.Unlock()
	if changed {
		g.takeList(list)
	}
}

// listIsOld reports whether no list has come from the leader for a while.
func (g *Gateway) listIsOld() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.listAsked) > listPatience
}

// followList reads the list of upstreams itself while none comes from the leader.
func (g *Gateway) followList(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		if !g.listIsOld() {
			pause(ctx, housekeepingInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := g.cfg.Lister.Upstreams(callCtx)
		cancel()
		switch {
		case err == nil:
			g.takeList(list)
		case !failing && ctx.Err() == nil:
			g.cfg.Log.WithError(err).Warn("list of upstreams not read")
		}
		if err == nil && failing {
			g.cfg.Log.Info("list of upstreams read again")
		}
		failing = err != nil
		pause(ctx, g.listPause())
	}
}

// listPause keeps all VMs together below the rate of the list.
func (g *Gateway) listPause() time.Duration {
	if g.cfg.MaxListRate <= 0 {
		return listInterval
	}
	vms, _ := g.fleetNames()
	share := float64(len(vms)*g.cfg.Lister.Calls()) / (g.cfg.MaxListRate * listShare)
	return max(listInterval, time.Duration(share*float64(time.Second)))
}

func (g *Gateway) takeList(list []inventory.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.listed
	g.list, g.listed = list, true
	g.handOver(func(string) bool { return first })
	g.serveWhenReady()
}

// maintain probes ejected upstreams, closes idle connections and keeps the shares of
// rates at the VMs that hand them out.
func (g *Gateway) maintain(ctx context.Context) {
	reported := time.Now()
	for ctx.Err() == nil {
		pause(ctx, housekeepingInterval)
		g.pool.CloseExpired(time.Now())
		if now := time.Now(); now.Sub(reported) > droppedInterval {
			g.requests.reportDropped()
			reported = now
		}
		g.mu.Lock()
		g.serveWhenReady()
		if vms, _ := g.fleetNames(); !slices.Equal(vms, g.vms) {
			g.handOver(func(string) bool { return false })
		}
		g.mu.Unlock()
		if view := g.follower.View(); view.Index != nil {
			g.rates.keepShares(view.Index.Plan.Customers)
			g.probeEjected(ctx, view)
		}
	}
}

func (g *Gateway) probeEjected(ctx context.Context, view *entry.PlanView) {
	for name, s := range *g.services.Load() {
		described := view.Index.Service(name)
		if described == nil {
			continue
		}
		var due []inventory.Upstream
		s.turns.with(func(now time.Time, table *placement.Table) { due = table.DueProbes(now) })
		for _, u := range due {
			go g.probe(ctx, s, u, described.HealthPath, described.Warmup)
		}
	}
}

// probe checks one ejected upstream. One that comes back without saying how long
// it stays cold counts as cold for the whole time that its service names.
func (g *Gateway) probe(ctx context.Context, s *service, u inventory.Upstream, path string, warmup time.Duration) {
	health := g.pool.CheckHealth(ctx, u.ID, u.Address.String(), path)
	cold := health.Cold
	if cold == 0 {
		cold = warmup
	}
	s.turns.with(func(now time.Time, table *placement.Table) { table.RecordProbe(now, u.ID, health.Healthy, cold) })
	if health.Healthy {
		g.cfg.Log.WithFields(logrus.Fields{"upstream": u.ID, "service": s.name, "cold": cold.String()}).Info("upstream answers again")
	}
}

// logEjected notes an upstream that gets nothing until a probe finds it well.
func (g *Gateway) logEjected(u inventory.Upstream, reply *egress.Reply) {
	g.pool.CloseUpstream(u.ID)
	if g.requests.admit(false) {
		g.cfg.Log.WithError(reply.Err).WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "address_reused": reply.Misdirected,
		}).Info("upstream ejected until a health check succeeds")
	}
}
