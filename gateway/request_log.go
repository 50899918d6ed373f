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
	// logLinesPerSecond and logBurst bound the lines about requests; one has about
	// 500 bytes, so that a VM writes at most 20 KB a second about them.
	logLinesPerSecond = 40
	logBurst          = 120
	// logSample is which part of the ordinary successes gets a line.
	logSample = 100
	// logReserve is the part of the burst that ordinary successes leave to others.
	logReserve = logBurst / 2
)

// requestLog writes the lines about requests within a bound. Refusals, failures,
// repeats and late answers go before ordinary successes, which are sampled.
type requestLog struct {
	log     logrus.FieldLogger
	limiter *rate.Limiter
	seen    atomic.Uint64 // ordinary successes
	dropped atomic.Uint64
}

func newRequestLog(log logrus.FieldLogger) *requestLog {
	return &requestLog{log: log, limiter: rate.NewLimiter(logLinesPerSecond, logBurst)}
}

// admit reports whether a line may be written.
func (l *requestLog) admit(ordinary bool) bool {
	if ordinary && (l.seen.Add(1)%logSample != 1 || l.limiter.Tokens() < logReserve) {
		return false // not counted as dropped: sampling leaves it out on purpose
	}
	if l.limiter.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// reportDropped logs how many lines were left out since the last time.
func (l *requestLog) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.log.WithField("lines", n).Warn("lines about requests dropped")
	}
}

// ended logs how a request ended.
func (l *requestLog) ended(a *attempt, response *ingress.Response, reason Reason) {
	took := time.Since(a.request.Received)
	ordinary := reason == "" && a.sends == 1 && response.Status < 500 && took <= a.route.Target
	if !l.admit(ordinary) {
		return
	}
	l.log.WithFields(logrus.Fields{
		"request": a.id(), "route": a.route.Name, "plan": a.planNumber, "customer": a.customerName(), "service": a.serviceName(),
		"rank": a.query.Rank, "status": response.Status, "reason": reason, "took_ms": took.Milliseconds(),
		"waited_ms": a.waited.Milliseconds(), "target_ms": a.route.Target.Milliseconds(),
		"left_ms": time.Until(a.deadline).Milliseconds(), "sends": a.sends, "dials": a.dials, "may_have_run": a.mayHaveRun,
		"upstreams": a.query.Tried, "retry_after": response.Header.Get("Retry-After"),
	}).Info("request ended")
}

// offered logs an offer to an upstream that did not end with its answer.
func (l *requestLog) offered(a *attempt, chosen inventory.Upstream, reply *egress.Reply, took time.Duration) {
	if reply.Outcome == egress.Answered || !l.admit(false) {
		return
	}
	l.log.WithError(reply.Err).WithFields(logrus.Fields{
		"request": a.id(), "upstream": chosen.ID, "domain": chosen.FailureDomain, "status": reply.Status,
		"outcome": reply.Outcome.String(), "unreachable": reply.Unreachable, "took_ms": took.Milliseconds(),
		"running": reply.Load.Running, "waiting": reply.Load.Waiting,
	}).Info("offer to an upstream not answered")
}

// refused logs a request that was refused before it had a route or a customer.
func (l *requestLog) refused(id string, request *ingress.Request, status int, reason Reason, viewAge float64) {
	if !l.admit(false) {
		return
	}
	l.log.WithFields(logrus.Fields{
		"request": id, "host": request.Host, "path": request.Path, "status": status, "reason": reason,
		"view_age_s": viewAge,
	}).Info("request refused")
}
