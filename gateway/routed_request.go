package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/gateway/admission"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/plan"
)

// routedRequest is a caller's request with its route, customer and service, and the state of its
// attempts at upstreams.
type routedRequest struct {
	gateway  *Gateway
	request  *ingress.Request
	route    *plan.Route
	customer *plan.Customer
	service  *service
	query    placement.Query
	// deadline is when the request must have a response: at the end of the caller's time or of the
	// route's timeout.
	deadline time.Time
	// placeableSince is when the request could be placed first: when it was received, or when this VM had learned what it
	// missed in a pause.
	placeableSince time.Time
	// callerDeadline is when the caller gives up, after its retries.
	callerDeadline time.Time

	// sends counts attempts at which a part of the request may have been sent, failedDials the others.
	sends, failedDials int
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// reason is why the request got no response from an upstream; empty if it got one.
	reason Reason
	// waitTime is the total time spent waiting for a free slot.
	waitTime   time.Duration
	planNumber uint64
	// viewAge is the time between the last confirmation of the plan and its use for this request.
	viewAge    time.Duration
	permission permission
}

func (r *routedRequest) id() string { return r.request.Header.Get(r.gateway.cfg.Headers.RequestID) }

func (r *routedRequest) serviceName() string {
	if r.service == nil {
		return ""
	}
	return r.service.name
}

// record updates metrics and log with the result of the request.
func (r *routedRequest) record(response *ingress.Response) {
	if response.Abort && r.reason == "" {
		r.reason = ReasonCallerGone
	}
	r.gateway.metrics.recordRequest(r.serviceName(), response.Status, r.reason, time.Since(r.request.Received), r.waitTime)
	r.gateway.requests.logRequest(r, response, r.reason)
}

// run sends the request to upstreams until one answers or no attempt is left.
func (r *routedRequest) run(ctx context.Context) *ingress.Response {
	r.service.retries.RecordRequest(time.Now(), r.query.Urgency)
	for {
		run := r.permission.run
		chosen, failed := r.acquireUpstream(ctx)
		if failed != nil {
			return failed
		}
		if r.permission.expired(ctx, r.deadline.Add(-minAttemptTime), r.sends > 0) {
			r.service.permits.release(chosen.ID, r.notSent())
			return r.fail(ReasonPermissionExpired)
		}
		if r.permission.run != run { // chosen by the lists and evacuations from before a pause
			r.service.permits.release(chosen.ID, r.notSent())
			r.placeableSince = time.Now()
			continue
		}
		reply := r.attempt(ctx, chosen)
		if reply.Withheld {
			continue
		}
		if ctx.Err() != nil {
			reply.Discard()
			return &ingress.Response{Abort: true}
		}
		response := r.evaluate(reply)
		if reply.Outcome != egress.Answered {
			reply.Discard()
		}
		if response != nil {
			return response
		}
	}
}

// acquireUpstream waits for an upstream with a free slot. It returns a response instead if the request
// ends here.
func (r *routedRequest) acquireUpstream(ctx context.Context) (inventory.Upstream, *ingress.Response) {
	now := time.Now()
	switch {
	case r.deadline.Sub(now) < minAttemptTime:
		return inventory.Upstream{}, r.fail(ReasonTimeout)
	case r.outlastsStop(now):
		return inventory.Upstream{}, r.fail(ReasonStopping)
	}
	r.query.Slack = r.slack(now)
	chosen, verdict := r.service.permits.acquire(ctx, r.query, admission.WaitDeadline(r.placeableSince, now, r.deadline, r.route.Target))
	r.waitTime += time.Since(now)
	switch {
	case ctx.Err() != nil:
		if verdict == placement.Placed {
			r.service.permits.release(chosen.ID, r.notSent())
		}
		return inventory.Upstream{}, &ingress.Response{Abort: true}
	case verdict == placement.NoUpstream:
		return inventory.Upstream{}, r.fail(ReasonNoUpstream)
	case verdict == placement.AllPaused:
		return inventory.Upstream{}, r.fail(ReasonPaused)
	case verdict == placement.NoCapacity:
		return inventory.Upstream{}, r.fail(ReasonOverCapacity)
	case verdict == placement.ShiftLimited:
		return inventory.Upstream{}, r.fail(ReasonShiftLimit)
	case r.sends > 0 && !r.service.retries.TryRetry(time.Now(), r.query.Urgency):
		r.service.permits.release(chosen.ID, r.notSent())
		return inventory.Upstream{}, r.fail(ReasonRetryBudget)
	}
	return chosen, nil
}

// notSent is the outcome of a slot that was not used.
func (r *routedRequest) notSent() placement.Outcome {
	return placement.Outcome{NotSent: true, Restricted: len(r.query.Regions) > 0}
}

// slack returns the time left until the target as a multiple of the route's average response time; 0 if that is not
// known.
func (r *routedRequest) slack(now time.Time) float64 {
	average := r.gateway.latencies.average(r.route.Name)
	if average <= 0 {
		return 0
	}
	return max(float64(r.route.Target-now.Sub(r.request.Received))/float64(average), 0)
}

// customerName returns the customer's name, or "" on public routes.
func (r *routedRequest) customerName() string {
	if r.customer == nil {
		return ""
	}
	return r.customer.Name
}

// attempt sends the request to one upstream and reports the outcome to the placement table, metrics
// and log.
func (r *routedRequest) attempt(ctx context.Context, chosen inventory.Upstream) *egress.Reply {
	call := &egress.Call{
		Upstream: chosen.ID, Address: chosen.Address.String(), Method: r.request.Method, Target: r.request.Target,
		Host: r.request.Host, Header: r.request.Header, Body: r.request.Body, Rest: r.request.Rest,
		Length: r.request.Length, Deadline: r.deadline, Customer: r.customerName(), Stream: r.streamCondition(),
		Withhold: r.permission.interrupted,
	}
	sent := time.Now()
	spanCtx, span := r.gateway.tracer.Start(ctx, "gateway.offer", trace.WithAttributes(
		attribute.String("upstream", chosen.ID), attribute.String("domain", chosen.FailureDomain)))
	reply := r.gateway.pool.Do(spanCtx, call)
	span.End()
	if reply.Withheld {
		r.service.permits.release(chosen.ID, r.notSent())
		return reply
	}
	r.countAttempt(chosen, reply)
	r.recordAnnouncement(chosen, reply)
	outcome := placement.Outcome{
		Restricted: len(r.query.Regions) > 0, Unreachable: reply.Unreachable, AddressReassigned: reply.Misdirected,
		Rejected: reply.Outcome == egress.NotRun && !reply.Unreachable && !reply.Abandoned && !reply.Misdirected,
		NotSent:  reply.Abandoned && ctx.Err() != nil, Unconnected: reply.Abandoned && ctx.Err() == nil,
		Running: reply.Load.Running, Waiting: reply.Load.Waiting, Reported: reply.LoadReported,
		Slots: reply.Load.Slots, Slowness: reply.Load.Slowness,
	}
	if ctx.Err() == nil {
		outcome.Endless = reply.Endless
		outcome.TimedOut = timedOut(reply)
		outcome.Failed = reply.Outcome == egress.Unknown || reply.Outcome == egress.Answered && reply.Status >= http.StatusInternalServerError
	}
	if reply.Outcome == egress.Answered && reply.Status < http.StatusInternalServerError && !reply.Streamed() {
		outcome.ResponseBytes = len(reply.Body)
		outcome.LatencyRatio = r.gateway.latencies.record(r.route.Name, time.Since(sent))
	}
	r.gateway.metrics.countAttempt(r.serviceName(), chosen.Region, reply.Outcome.String())
	if outcome.Rejected {
		free := outcome.RejectedWithFreeSlots()
		r.query.Rejected = r.query.Rejected || free
		r.gateway.metrics.countRejection(r.serviceName(), free)
	}
	r.gateway.requests.logFailedAttempt(r, chosen, reply, time.Since(sent))
	r.gateway.requests.logEarlyResponse(r, chosen, reply)
	if outcome.Unreachable || outcome.AddressReassigned {
		r.gateway.logEjected(chosen, reply)
	}
	if reply.Streamed() {
		r.releaseAfterStream(chosen, sent, reply, outcome)
		return reply
	}
	if reply.Rest != nil {
		reply.Rest = &restWithSlot{ReadCloser: reply.Rest, ctx: ctx, deadline: r.deadline, release: func(cut, endless bool) {
			outcome.Failed, outcome.Endless = cut, endless
			r.service.permits.release(chosen.ID, outcome)
		}}
		return reply
	}
	r.service.permits.release(chosen.ID, outcome)
	return reply
}

// timedOut reports whether a request was sent and no response arrived in time. A response that began is no
// timeout.
func timedOut(reply *egress.Reply) bool {
	return reply.Outcome == egress.Unknown && !reply.Endless && errors.Is(reply.Err, egress.ErrTimeout)
}

// countAttempt counts an attempt, also if the caller left meanwhile: the upstream may have run the request.
func (r *routedRequest) countAttempt(chosen inventory.Upstream, reply *egress.Reply) {
	if reply.Unreachable || reply.Abandoned {
		r.failedDials++
	} else {
		r.sends++
	}
	r.query.Tried = append(r.query.Tried, chosen.ID)
}

// evaluate returns the response to the caller, or nil if another upstream is to be tried.
func (r *routedRequest) evaluate(reply *egress.Reply) *ingress.Response {
	switch reply.Outcome {
	case egress.Answered:
		if reply.Announced.Pause > 0 {
			// The pause is about this VM and this upstream; others may serve the caller at once.
			reply.Header.Del("Retry-After")
		}
		return responseOf(reply)
	case egress.NotRun:
		if r.exhausted() {
			return r.fail(ReasonOverCapacity)
		}
		return nil
	}
	r.mayHaveRun = true
	if !r.route.Idempotent || r.exhausted() {
		return r.fail(ReasonUpstreamLost)
	}
	return nil
}

// exhausted reports whether no further upstream may be tried.
func (r *routedRequest) exhausted() bool { return r.exhaustedAfter(r.sends) }

// exhaustedAfter reports whether no further upstream may be tried after the given number of sends.
func (r *routedRequest) exhaustedAfter(sends int) bool {
	return sends >= max(r.route.MaxAttempts, 1) || r.failedDials >= maxFailedDials || r.request.Rest != nil
}

// fail records the reason and returns the response to a request that no upstream answered. Only a
// request that certainly did not run gets a status that says so.
func (r *routedRequest) fail(reason Reason) *ingress.Response {
	r.reason = reason
	if !r.mayHaveRun {
		return notRunResponse(http.StatusServiceUnavailable, reason, r.retryAfter(reason))
	}
	if time.Until(r.deadline) < minAttemptTime {
		return errorResponse(http.StatusGatewayTimeout, ReasonTimeout)
	}
	return errorResponse(http.StatusBadGateway, reason)
}

// retryAfter returns the delay before the caller of a request that did not run retries.
func (r *routedRequest) retryAfter(reason Reason) time.Duration {
	rejection := admission.Rejection{
		TimeLeft: time.Until(r.callerDeadline),
		Slack:    r.route.Target - time.Since(r.request.Received) - r.gateway.latencies.average(r.route.Name),
	}
	switch reason {
	case ReasonOverCapacity:
		return r.retryAfterOverCapacity(rejection)
	case ReasonNoShare:
		return admission.RetryAfterOutage(rejection, rand.Float64())
	case ReasonShiftLimit:
		return admission.RetryAfterShiftLimit(rejection, rand.Float64())
	case ReasonPaused:
		return admission.RetryAfterPause(r.service.permits.earliestReturn(&r.query), rand.Float64())
	}
	return admission.RetryAfterOverload(rejection, rand.Float64())
}

// retryAfterOverCapacity returns the delay before the caller of a request retries that was rejected for lack
// of capacity.
func (r *routedRequest) retryAfterOverCapacity(rejection admission.Rejection) time.Duration {
	left := r.route.Target - time.Since(r.request.Received)
	rejection.Slack = left - r.gateway.latencies.slow(r.route.Name) - admission.LongestWait(r.route.Target)
	after := admission.RetryAfterOverCapacity(rejection, rand.Float64())
	r.gateway.metrics.countRetryAfter(r.serviceName(), after <= rejection.Slack)
	return after
}

func responseOf(reply *egress.Reply) *ingress.Response {
	return &ingress.Response{
		Status: reply.Status, Header: reply.Header, Body: reply.Body, Rest: reply.Rest, Length: reply.Length,
		Release: reply.Release,
	}
}
