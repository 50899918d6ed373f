package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/gateway/admission"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
	"pistachiomount.example/pistachiomount/plan"
)

// attempt is one request of a caller on its way to an upstream.
type attempt struct {
	gateway  *Gateway
	request  *ingress.Request
	route    *plan.Route
	customer *plan.Customer
	service  *service
	query    placement.Query
	// deadline is when the caller must have an answer.
	deadline time.Time

	sends, dials int
	// mayHaveRun is set once an upstream may have run the request.
	mayHaveRun bool
	// reason is why the request got no answer of an upstream; empty if it got one.
	reason Reason
	// waited is how long it waited for room in all.
	waited     time.Duration
	planNumber uint64
}

func (a *attempt) id() string { return a.request.Header.Get(a.gateway.cfg.Headers.RequestID) }

func (a *attempt) serviceName() string {
	if a.service == nil {
		return ""
	}
	return a.service.name
}

// ended notes how the request ended.
func (a *attempt) ended(response *ingress.Response) {
	if response.Abort && a.reason == "" {
		a.reason = ReasonCallerGone
	}
	a.gateway.observer.ended(a.serviceName(), response.Status, a.reason, time.Since(a.request.Received), a.waited)
	a.gateway.requests.ended(a, response, a.reason)
}

// run offers the request to upstreams until one answers or there is nothing left
// to try.
func (a *attempt) run(ctx context.Context) *ingress.Response {
	a.service.retries.RecordRequest(time.Now())
	for {
		chosen, refusal := a.place(ctx)
		if refusal != nil {
			return refusal
		}
		reply := a.offer(ctx, chosen)
		if ctx.Err() != nil {
			closeRest(reply)
			return &ingress.Response{Abort: true}
		}
		if response := a.judge(chosen, reply); response != nil {
			return response
		}
	}
}

// place finds an upstream with room.
func (a *attempt) place(ctx context.Context) (inventory.Upstream, *ingress.Response) {
	now := time.Now()
	if a.deadline.Sub(now) < minLeft {
		return inventory.Upstream{}, a.giveUp(ReasonTimeout)
	}
	chosen, verdict := a.service.turns.acquire(ctx, a.query, admission.WaitDeadline(a.request.Received, now, a.deadline, a.route.Target))
	a.waited += time.Since(now)
	switch {
	case ctx.Err() != nil:
		if verdict == placement.Placed {
			a.service.turns.done(chosen.ID, placement.Outcome{})
		}
		return inventory.Upstream{}, &ingress.Response{Abort: true}
	case verdict == placement.NoUpstream:
		return inventory.Upstream{}, a.giveUp(ReasonNoUpstream)
	case verdict == placement.NoCapacity:
		return inventory.Upstream{}, a.giveUp(ReasonNoRoom)
	case a.sends > 0 && !a.service.retries.TryRetry(time.Now()):
		a.service.turns.done(chosen.ID, placement.Outcome{})
		return inventory.Upstream{}, a.giveUp(ReasonRetryBudget)
	}
	return chosen, nil
}

// customerName returns the customer's name, or "" on public routes.
func (a *attempt) customerName() string {
	if a.customer == nil {
		return ""
	}
	return a.customer.Name
}

func (a *attempt) offer(ctx context.Context, chosen inventory.Upstream) *egress.Reply {
	call := &egress.Call{
		Upstream: chosen.ID, Address: chosen.Address.String(), Method: a.request.Method, Target: a.request.Target,
		Host: a.request.Host, Header: a.request.Header, Body: a.request.Body, Rest: a.request.Rest,
		Length: a.request.Length, Deadline: a.deadline, Customer: a.customerName(),
	}
	sent := time.Now()
	exchange, span := a.gateway.tracer.Start(ctx, "gateway.offer", trace.WithAttributes(
		attribute.String("upstream", chosen.ID), attribute.String("domain", chosen.FailureDomain)))
	reply := a.gateway.pool.Do(exchange, call)
	span.End()
	outcome := placement.Outcome{
		Unreachable: reply.Unreachable, AddressReassigned: reply.Misdirected,
		Rejected: reply.Outcome == egress.NotRun && !reply.Unreachable && !reply.Misdirected,
		Running:  reply.Load.Running, Waiting: reply.Load.Waiting, Reported: reply.LoadReported,
	}
	if ctx.Err() == nil {
		outcome.Failed = reply.Outcome == egress.Unknown || reply.Outcome == egress.Answered && reply.Status >= http.StatusInternalServerError
	}
	if reply.Outcome == egress.Answered && reply.Status < http.StatusInternalServerError {
		outcome.LatencyRatio = a.gateway.usual.compare(a.route.Name, time.Since(sent))
	}
	a.gateway.observer.offered(a.serviceName(), reply.Outcome.String())
	a.gateway.requests.offered(a, chosen, reply, time.Since(sent))
	if outcome.Unreachable || outcome.AddressReassigned {
		a.gateway.logEjected(chosen, reply)
	}
	a.service.turns.done(chosen.ID, outcome)
	return reply
}

// judge returns the answer to the caller, or nil if another upstream is tried.
func (a *attempt) judge(chosen inventory.Upstream, reply *egress.Reply) *ingress.Response {
	if reply.Unreachable {
		a.dials++
	} else {
		a.sends++
	}
	a.query.Tried = append(a.query.Tried, chosen.ID)
	switch reply.Outcome {
	case egress.Answered:
		return answerOf(reply)
	case egress.NotRun:
		if a.exhausted() {
			return a.giveUp(ReasonNoRoom)
		}
		return nil
	}
	a.mayHaveRun = true
	if !a.route.Idempotent || a.exhausted() {
		return a.giveUp(ReasonUpstreamLost)
	}
	return nil
}

// exhausted reports whether the request may not be offered to another upstream.
func (a *attempt) exhausted() bool {
	return a.sends >= max(a.route.MaxAttempts, 1) || a.dials >= maxDials || a.request.Rest != nil
}

// giveUp returns the final answer of a request that no upstream answered. Only one
// that certainly did not run gets a status that promises so.
func (a *attempt) giveUp(reason Reason) *ingress.Response {
	a.reason = reason
	if !a.mayHaveRun {
		return notRun(http.StatusServiceUnavailable, reason, a.returnAfter(reason))
	}
	if time.Until(a.deadline) < minLeft {
		return failure(http.StatusGatewayTimeout, ReasonTimeout)
	}
	return failure(http.StatusBadGateway, reason)
}

// returnAfter returns when the caller of a request that did not run comes back.
func (a *attempt) returnAfter(reason Reason) time.Duration {
	refused := admission.Rejection{
		TimeLeft: time.Until(a.deadline),
		Slack:    a.route.Target - time.Since(a.request.Received) - a.gateway.usual.of(a.route.Name),
	}
	if reason == ReasonNoShare {
		return admission.RetryAfterOutage(refused, rand.Float64())
	}
	return admission.RetryAfterOverload(refused, rand.Float64())
}

func answerOf(reply *egress.Reply) *ingress.Response {
	return &ingress.Response{
		Status: reply.Status, Header: reply.Header, Body: reply.Body, Rest: reply.Rest, Length: reply.Length,
	}
}

func closeRest(reply *egress.Reply) {
	if reply.Rest != nil {
		_ = reply.Rest.Close()
	}
}
