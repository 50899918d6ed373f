package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
)

// recordAnnouncement passes what a response says about its upstream to the placement table, before the
// response goes to the caller, and logs changes.
func (r *routedRequest) recordAnnouncement(chosen inventory.Upstream, reply *egress.Reply) {
	change, limited := r.service.permits.recordAnnouncement(chosen.ID, reply.Announced)
	if limited {
		r.gateway.metrics.countLimitedAttempt(r.serviceName())
	}
	r.gateway.reportAnnouncement(r.serviceName(), chosen.ID, r.id(), reply.Announced, change)
}

// reportAnnouncement counts and logs a change in what an upstream announces.
func (g *Gateway) reportAnnouncement(service, upstream, request string, a announce.Announcement, change announce.Change) {
	if a.Invalid != "" && g.requests.allow(false) {
		g.cfg.Log.WithFields(logrus.Fields{"upstream": upstream, "service": service, "request": request, "value": a.Invalid}).
			Warn("ignored an invalid value in the response of an upstream")
	}
	if change == announce.NoChange {
		return
	}
	g.metrics.countAnnouncement(service, change)
	if g.requests.allow(false) {
		g.cfg.Log.WithFields(logrus.Fields{
			"upstream": upstream, "service": service, "request": request, "change": change, "limit_per_s": a.RateLimit,
			"pause_ms": a.Pause.Milliseconds(),
		}).Info("upstream changed what it announces")
	}
}

// notices returns what upstreams have announced to this VM.
func (g *Gateway) notices(now time.Time) []announce.Notice {
	var notices []announce.Notice
	for _, s := range *g.services.Load() {
		s.permits.withTable(func(_ time.Time, table *placement.Table) { notices = append(notices, table.Notices(now)...) })
	}
	return announce.MostImportant(notices)
}

// applyNotices passes what upstreams have announced to other VMs to the placement tables.
func (g *Gateway) applyNotices(now time.Time, notices []announce.Notice) {
	byUpstream := make(map[string]announce.Notice, len(notices))
	for _, n := range notices {
		byUpstream[n.Upstream] = n
	}
	for name, s := range *g.services.Load() {
		var changes map[string]announce.Change
		s.permits.withTable(func(_ time.Time, table *placement.Table) { changes = table.SetNotices(now, byUpstream) })
		for upstream, change := range changes {
			g.metrics.countAnnouncement(name, change)
			if g.requests.allow(false) {
				g.cfg.Log.WithFields(logrus.Fields{"upstream": upstream, "service": name, "change": change, "heard_by": "other VMs"}).
					Info("upstream changed what it announces")
			}
		}
	}
}
