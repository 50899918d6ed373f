package gateway

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/inventory"
)

const (
	// logLinesPerSecond and logBurst limit the lines about requests. A line has about 500 bytes, so a
	// VM writes at most 20 kB per second about them.
	logLinesPerSecond = 40
	logBurst          = 120
	// logSampleInterval is the sampling interval of ordinary successes: one in this many is logged.
	logSampleInterval = 100
	// logReserve is the part of the burst that ordinary successes may not use.
	logReserve = logBurst / 2
)

// requestLog logs requests at a limited rate. Rejections, failures, retries and late answers take
// precedence over ordinary successes, which are sampled.
type requestLog struct {
	log     logrus.FieldLogger
	limiter *rate.Limiter
	seen    atomic.Uint64 // ordinary successes
	dropped atomic.Uint64
}

func newRequestLog(log logrus.FieldLogger) *requestLog {
	return &requestLog{log: log, limiter: rate.NewLimiter(logLinesPerSecond, logBurst)}
}

// allow reports whether a line may be logged.
func (l *requestLog) allow(ordinary bool) bool {
	if ordinary && (l.seen.Add(1)%logSampleInterval != 1 || l.limiter.Tokens() < logReserve) {
		return false // left out on purpose, so not counted as dropped
	}
	if l.limiter.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// reportDropped logs how many lines were dropped since the last report.
func (l *requestLog) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.log.WithField("lines", n).Warn("log lines about requests dropped")
	}
}

// logRequest logs the result of a request.
func (l *requestLog) logRequest(r *routedRequest, response *ingress.Response, reason Reason) {
	took := time.Since(r.request.Received)
	ordinary := reason == "" && r.sends == 1 && response.Status < 500 && took <= r.route.Target
	if !l.allow(ordinary) {
		return
	}
	l.log.WithFields(logrus.Fields{
		"request": r.id(), "route": r.route.Name, "plan": r.planNumber, "customer": r.customerName(), "service": r.serviceName(),
		"rank": r.query.Rank, "status": response.Status, "reason": reason, "took_ms": took.Milliseconds(),
		"waited_ms": r.waitTime.Milliseconds(), "target_ms": r.route.Target.Milliseconds(),
		"left_ms": time.Until(r.deadline).Milliseconds(), "sends": r.sends, "dials": r.failedDials, "may_have_run": r.mayHaveRun,
		"upstreams": r.query.Tried, "retry_after": response.Header.Get("Retry-After"), "view_age_ms": r.viewAge.Milliseconds(),
	}).Info("request ended")
}

// logFailedAttempt logs an attempt that got no response from the upstream.
func (l *requestLog) logFailedAttempt(r *routedRequest, chosen inventory.Upstream, reply *egress.Reply, took time.Duration) {
	if reply.Outcome == egress.Answered || !l.allow(false) {
		return
	}
	l.log.WithError(reply.Err).WithFields(logrus.Fields{
		"request": r.id(), "upstream": chosen.ID, "domain": chosen.FailureDomain, "status": reply.Status,
		"outcome": reply.Outcome.String(), "unreachable": reply.Unreachable, "took_ms": took.Milliseconds(),
		"running": reply.Load.Running, "waiting": reply.Load.Waiting, "slots": reply.Load.Slots, "slowness": reply.Load.Slowness,
	}).Info("attempt at an upstream not answered")
}

// logEarlyResponse logs a response that an upstream gave although the request could not be sent in full.
func (l *requestLog) logEarlyResponse(r *routedRequest, chosen inventory.Upstream, reply *egress.Reply) {
	if reply.Outcome != egress.Answered || reply.SendErr == nil || !l.allow(false) {
		return
	}
	l.log.WithError(reply.SendErr).WithFields(logrus.Fields{
		"request": r.id(), "upstream": chosen.ID, "domain": chosen.FailureDomain, "status": reply.Status, "bytes": len(reply.Body),
	}).Info("upstream answered a request that was not sent in full")
}

// logCutResponse logs a streamed response that its upstream did not complete.
func (l *requestLog) logCutResponse(r *routedRequest, chosen inventory.Upstream, end egress.StreamEnd, took time.Duration) {
	if !l.allow(false) {
		return
	}
	l.log.WithError(end.Err).WithFields(logrus.Fields{
		"request": r.id(), "route": r.route.Name, "upstream": chosen.ID, "domain": chosen.FailureDomain, "bytes": end.Bytes,
		"took_ms": took.Milliseconds(),
	}).Info("response cut by its upstream while it was streamed")
}

// logUnsentResponse logs a response that was cut while it was sent, unless its caller left while this VM served on.
func (l *requestLog) logUnsentResponse(id string, cut ingress.Cut) {
	if cut.Cause == ingress.CutCallerGone && !cut.Stopping || !l.allow(false) {
		return
	}
	l.log.WithError(cut.Err).WithFields(logrus.Fields{
		"request": id, "status": cut.Status, "reason": cut.Cause, "stopping": cut.Stopping,
	}).Info("response not sent to its end")
}

// logRejection logs a request that was rejected before its route and customer were known.
func (l *requestLog) logRejection(id string, request *ingress.Request, status int, reason Reason, viewAge float64) {
	if !l.allow(false) {
		return
	}
	l.log.WithFields(logrus.Fields{
		"request": id, "host": request.Host, "path": request.Path, "status": status, "reason": reason,
		"view_age_s": viewAge,
	}).Info("request rejected")
}
