package gateway

import (
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/gateway/announce"
	"pistachiomount.example/pistachiomount/gateway/egress"
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
