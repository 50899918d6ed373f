package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
)

// applyLeaderList applies the list that the leader reads for all VMs.
func (g *Gateway) applyLeaderList(list []inventory.Upstream, changed bool, age time.Duration) {
	g.mu.Lock()
	g.listRequested = time.Now().Add(-age)
	changed = changed || !g.listRead
	g.mu.Unlock()
	if changed {
		g.applyList(list)
	}
}

// pollList reads the list of upstreams from the platform while the leader sends none.
func (g *Gateway) pollList(ctx context.Context) {
	failing := false
	patience := rand.Float64()
	for ctx.Err() == nil {
		g.mu.Lock()
		age, hasList := time.Since(g.listRequested), g.listRead
		g.mu.Unlock()
		if !needsOwnList(age, g.follower.ConnectedFor(), hasList, patience) {
			sleep(ctx, maintenanceInterval)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := g.cfg.Lister.Upstreams(callCtx)
		cancel()
		switch {
		case err == nil:
			g.applyList(list)
		case !failing && ctx.Err() == nil:
			g.cfg.Log.WithError(err).Warn("failed to read the list of upstreams")
		}
		if err == nil && failing {
			g.cfg.Log.Info("reading the list of upstreams succeeds again")
		}
		failing = err != nil
		vms := g.knownVMs()
		sleep(ctx, ownListInterval(len(vms)*g.cfg.Lister.Calls(), g.cfg.MaxListRate, g.follower.ConnectedFor() > 0))
	}
}

func (g *Gateway) applyList(list []inventory.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.listRead
	g.list, g.listRead = list, true
	g.updateTables(func(string) bool { return first })
	g.serveWhenReady()
}

// maintain periodically probes ejected upstreams, closes expired connections, and updates which shares
// of rates this VM requests.
func (g *Gateway) maintain(ctx context.Context) {
	reported, suspended := time.Now(), false
	for ctx.Err() == nil {
		sleep(ctx, maintenanceInterval)
		suspended = g.logShiftLimit(suspended)
		g.logPaceChanges()
		g.logRejecting()
		g.pool.CloseExpired(time.Now())
		if now := time.Now(); now.Sub(reported) > droppedReportInterval {
			g.requests.reportDropped()
			reported = now
		}
		g.mu.Lock()
		g.serveWhenReady()
		g.mu.Unlock()
		g.applyFleet()
		if view := g.follower.View(); view.Index != nil {
			g.rateLimiter.updateShares(view.Index.Plan.Customers)
			g.probeEjected(ctx, view)
		}
	}
}

// logPaceChanges logs when requests to a paced upstream begin, and when its pacing ends.
func (g *Gateway) logPaceChanges() {
	for name, s := range *g.services.Load() {
		var changes []placement.PaceChange
		s.permits.withTable(func(_ time.Time, table *placement.Table) { changes = table.PaceChanges() })
		for _, c := range changes {
			if !g.requests.allow(false) {
				continue
			}
			entry := g.cfg.Log.WithFields(logrus.Fields{"upstream": c.Upstream, "service": name, "reason": c.Reason})
			if c.Ended {
				entry.WithFields(logrus.Fields{"duration": c.Took.String(), "full_share": c.Complete}).Info("pacing of an upstream ended")
				continue
			}
			entry.Info("pacing of an upstream began")
		}
	}
}

// logShiftLimit logs when the bound on shifts between regions is suspended and when it holds again. It
// returns whether it is suspended.
func (g *Gateway) logShiftLimit(suspended bool) bool {
	state := g.shiftLimiter.State(time.Now())
	if state.Suspended != suspended {
		g.cfg.Log.WithFields(logrus.Fields{"suspended": state.Suspended, "shares": state.Counted, "reference": state.Reference}).
			Info("bound on shifts between regions changed")
	}
	return state.Suspended
}

func (g *Gateway) probeEjected(ctx context.Context, view *entry.PlanView) {
	for name, s := range *g.services.Load() {
		spec := view.Index.Service(name)
		if spec == nil {
			continue
		}
		var due []inventory.Upstream
		s.permits.withTable(func(now time.Time, table *placement.Table) { due = table.DueProbes(now) })
		for _, u := range due {
			go g.probe(ctx, s, u, spec.HealthPath, spec.Warmup)
		}
	}
}

// probe sends a health check to an ejected upstream. One that recovers without reporting how long it
// stays cold counts as cold for the warmup time of its service.
func (g *Gateway) probe(ctx context.Context, s *service, u inventory.Upstream, path string, warmup time.Duration) {
	health := g.pool.CheckHealth(ctx, u.ID, u.Address.String(), path)
	cold := health.Cold
	if !health.ColdReported {
		cold = warmup // it may have restarted, and its service bounds the rate of a cold upstream
	}
	change, _ := s.permits.recordAnnouncement(u.ID, health.Announced)
	g.reportAnnouncement(s.name, u.ID, "", health.Announced, change)
	s.permits.withTable(func(now time.Time, table *placement.Table) { table.RecordProbe(now, u.ID, health.Healthy, cold) })
	if health.Healthy {
		g.cfg.Log.WithFields(logrus.Fields{"upstream": u.ID, "service": s.name, "cold": cold.String()}).Info("ejected upstream is healthy again")
	}
}

// logEjected logs that an upstream gets no requests until a health check succeeds, and closes its idle
// connections.
func (g *Gateway) logEjected(u inventory.Upstream, reply *egress.Reply) {
	g.pool.CloseUpstream(u.ID)
	if g.requests.allow(false) {
		g.cfg.Log.WithError(reply.Err).WithFields(logrus.Fields{
			"upstream": u.ID, "service": u.Service, "address_reused": reply.Misdirected,
		}).Info("upstream ejected until a health check succeeds")
	}
}
