package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/gateway/admission"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/plan"
)

// maxRoutings is how often a request is routed anew because what allowed it ran out before it was sent.
const maxRoutings = 3

// Serve answers one request of a caller.
func (g *Gateway) Serve(ctx context.Context, request *ingress.Request) *ingress.Response {
	for routings := 1; ; routings++ {
		r, rejected := g.route(ctx, request)
		if rejected != nil {
			return rejected
		}
		if routings > 1 {
			r.placeableSince = time.Now()
		}
		response := g.run(ctx, r)
		if r.reason != ReasonPermissionExpired || r.sends > 0 || routings == maxRoutings {
			r.record(response)
			return response
		}
	}
}

// run runs a request that was routed.
func (g *Gateway) run(ctx context.Context, r *routedRequest) *ingress.Response {
	ctx, span := g.tracer.Start(ctx, "gateway.request", trace.WithAttributes(
		attribute.String("request", r.id()), attribute.String("route", r.route.Name)))
	defer span.End()
	return g.runWithinRate(ctx, r)
}

// route finds the route and the customer of a request in the current view. It returns a response instead if there are none.
func (g *Gateway) route(ctx context.Context, request *ingress.Request) (*routedRequest, *ingress.Response) {
	if g.follower.View().Index == nil {
		return nil, g.reject(request, http.StatusServiceUnavailable, ReasonNoPlan)
	}
	placeableSince := request.Received
	run, current := g.knowledge.Current()
	if !current && g.lifecycle.State() != apipb.VmState_VM_STATE_STARTING {
		run, current = g.awaitKnowledge(ctx, request)
		placeableSince = time.Now()
	}
	switch {
	case ctx.Err() != nil:
		g.recordRejection(request, 0, ReasonCallerGone)
		return nil, &ingress.Response{Abort: true}
	case !current:
		return nil, g.reject(request, http.StatusServiceUnavailable, ReasonViewStale)
	}
	view := g.follower.View()
	route := view.Index.Route(request.Host, request.Path)
	if route == nil {
		return nil, g.rejectUnknown(view, request, http.StatusNotFound, ReasonUnknownRoute)
	}
	customer := view.Index.Customer(request.Header.Get(g.cfg.Headers.Key))
	if route.Public {
		customer = nil
	} else if customer == nil && view.Index.KeysRequired() {
		return nil, g.rejectUnknown(view, request, http.StatusUnauthorized, ReasonUnknownKey)
	}
	r := &routedRequest{
		gateway: g, request: request, route: route, customer: customer, planNumber: view.Index.Plan.Number,
		query: g.query(request, route, customer), placeableSince: placeableSince,
	}
	r.viewAge, _ = view.Age(g.cfg.Clock.Now())
	r.deadline, r.callerDeadline = g.deadlines(request, route)
	r.service = g.service(g.splitter.choose(route))
	r.permission = permission{
		clock: g.cfg.Clock, checkedAt: g.cfg.Clock.Now(), knowledge: g.knowledge, run: run, rated: isRated(customer),
		stillAllowed: func() bool { return r.stillAllowed(g.follower.View().Index) },
	}
	return r, nil
}

// awaitKnowledge waits until this VM may act on its view, as long as the caller can still be served in time.
func (g *Gateway) awaitKnowledge(ctx context.Context, request *ingress.Request) (run uint64, current bool) {
	deadline, _ := g.deadlines(request, &plan.Route{Timeout: unknownRouteTimeout})
	return g.knowledge.Await(ctx, deadline.Add(-minAttemptTime))
}

// isRated reports whether requests of a customer need tokens of its rate; nil stands for callers of public routes.
func isRated(customer *plan.Customer) bool { return customer != nil && customer.Rate > 0 }

// runWithinRate runs the request if its customer's rate allows it. A request that was sent to no
// upstream does not count against the rate.
func (g *Gateway) runWithinRate(ctx context.Context, r *routedRequest) *ingress.Response {
	if r.service == nil {
		return r.fail(ReasonNoUpstream)
	}
	if !isRated(r.customer) {
		return r.run(ctx)
	}
	taken, denied := g.rateLimiter.take(ctx, r.customer, time.Until(r.deadline))
	switch {
	case taken != nil:
		g.metrics.countRateToken(tokenTaken)
	case denied.noShare:
		return r.fail(ReasonNoShare)
	case denied.delayed:
		return r.fail(ReasonTokenDelayed)
	default:
		r.reason = ReasonOverRate
		after := admission.RetryAfterRateLimit(admission.Rejection{TimeLeft: time.Until(r.callerDeadline)}, denied.wait, rand.Float64())
		return notRunResponse(http.StatusTooManyRequests, ReasonOverRate, after)
	}
	response := r.run(ctx)
	if r.sends == 0 {
		g.metrics.countRateToken(tokenRefunded)
		g.rateLimiter.refund(taken)
	}
	return response
}

// rejectUnknown answers a request whose route or key is not in the view. A view that was not confirmed
// recently may lack routes and keys that are in force elsewhere.
func (g *Gateway) rejectUnknown(view *entry.PlanView, request *ingress.Request, status int, reason Reason) *ingress.Response {
	age, confirmed := view.Age(g.cfg.Clock.Now())
	if !confirmed || age > g.cfg.MaxViewAge {
		return g.reject(request, http.StatusServiceUnavailable, ReasonViewStale)
	}
	g.recordRejection(request, status, reason)
	return errorResponse(status, reason)
}

// reject answers a request that did not run because this VM has no current plan.
func (g *Gateway) reject(request *ingress.Request, status int, reason Reason) *ingress.Response {
	g.recordRejection(request, status, reason)
	_, callerDeadline := g.deadlines(request, &plan.Route{Timeout: unknownRouteTimeout})
	rejection := admission.Rejection{TimeLeft: time.Until(callerDeadline)}
	return notRunResponse(status, reason, admission.RetryAfterOutage(rejection, rand.Float64()))
}

// recordRejection records a request that was rejected before its route and customer were known.
func (g *Gateway) recordRejection(request *ingress.Request, status int, reason Reason) {
	g.metrics.recordRequest("", status, reason, time.Since(request.Received), 0)
	g.requests.logRejection(request.Header.Get(g.cfg.Headers.RequestID), request, status, reason, g.viewAge())
}

// deadlines returns when the request must have a response, at the end of the caller's time or of the
// route's timeout, and when the caller's time ends. Without a valid deadline header, the caller's time
// is taken to end with the timeout.
func (g *Gateway) deadlines(request *ingress.Request, route *plan.Route) (response, caller time.Time) {
	timeout := request.Received.Add(route.Timeout)
	text := request.Header.Get(g.cfg.Headers.Deadline)
	if text == "" {
		return timeout, timeout
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) {
		// The route's timeout limits the request, so it is not rejected for an invalid header.
		if g.requests.allow(false) {
			g.cfg.Log.WithFields(logrus.Fields{
				"request": request.Header.Get(g.cfg.Headers.RequestID), "value": text,
			}).Warn("invalid deadline header; using the timeout of the route")
		}
		return timeout, timeout
	}
	caller = request.Received.Add(time.Duration(min(ms, maxCallerTimeMS) * float64(time.Millisecond)))
	if caller.Before(timeout) {
		return caller, caller
	}
	return timeout, caller
}

func (g *Gateway) query(request *ingress.Request, route *plan.Route, customer *plan.Customer) placement.Query {
	q := placement.Query{Rank: route.Priority, Urgency: route.Priority, Regions: allowedRegions(route, customer)}
	if route.Affinity {
		if object := cookieValue(request.Header, g.cfg.Headers.ObjectCookie); object != "" {
			q.Object = placement.ObjectHash(route.Name + "/" + object)
		}
	}
	if customer != nil && customer.Priority != nil {
		q.Rank = *customer.Priority
	}
	return q
}

// allowedRegions returns the regions to which requests of a route and a customer may be sent; empty means any. The customer
// is nil on public routes.
func allowedRegions(route *plan.Route, customer *plan.Customer) []string {
	if customer == nil {
		return route.Regions
	}
	return intersectRegions(route.Regions, customer.Regions)
}

// noRegion matches no region; it stands for an empty intersection, since an empty list means all
// regions.
const noRegion = ""

// intersectRegions returns the regions in both lists; an empty list stands for all regions.
func intersectRegions(a, b []string) []string {
	if len(a) == 0 || len(b) == 0 {
		return append(append([]string(nil), a...), b...)
	}
	var common []string
	for _, region := range a {
		for _, other := range b {
			if region == other {
				common = append(common, region)
			}
		}
	}
	if len(common) == 0 {
		return []string{noRegion}
	}
	return common
}

func cookieValue(header http.Header, name string) string {
	for _, line := range header["Cookie"] {
		for _, pair := range strings.Split(line, ";") {
			key, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if key == name {
				return value
			}
		}
	}
	return ""
}
