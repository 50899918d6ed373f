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

	"pistachiomount.example/pistachiomount/entry"
	"pistachiomount.example/pistachiomount/gateway/admission"
	"pistachiomount.example/pistachiomount/gateway/ingress"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/plan"
)

// Serve answers one request of a caller.
func (g *Gateway) Serve(ctx context.Context, request *ingress.Request) *ingress.Response {
	view := g.follower.View()
	if view.Index == nil {
		return g.refuse(request, http.StatusServiceUnavailable, ReasonNoPlan)
	}
	route := view.Index.Route(request.Host, request.Path)
	if route == nil {
		return g.unknown(view, request, http.StatusNotFound, ReasonNoRoute)
	}
	customer := view.Index.Customer(request.Header.Get(g.cfg.Headers.Key))
	if route.Public {
		customer = nil
	} else if customer == nil && view.Index.HasCustomers() {
		return g.unknown(view, request, http.StatusUnauthorized, ReasonNoKey)
	}
	a := &attempt{
		gateway: g, request: request, route: route, customer: customer, planNumber: view.Index.Plan.Number,
		deadline: g.deadline(request, route), query: g.query(request, route, customer),
	}
	a.service = g.service(g.splitter.choose(route))
	ctx, span := g.tracer.Start(ctx, "gateway.request", trace.WithAttributes(
		attribute.String("request", a.id()), attribute.String("route", route.Name)))
	defer span.End()
	response := g.withinRate(ctx, a)
	a.ended(response)
	return response
}

// withinRate runs the request if its customer's rate allows it. A request that was
// offered to no upstream does not count.
func (g *Gateway) withinRate(ctx context.Context, a *attempt) *ingress.Response {
	if a.service == nil {
		return a.giveUp(ReasonNoUpstream)
	}
	if a.customer == nil || a.customer.Rate <= 0 {
		return a.run(ctx)
	}
	taken, denied := g.rates.take(ctx, a.customer.Name)
	switch {
	case taken != nil:
	case denied.noShare:
		return a.giveUp(ReasonNoShare)
	default:
		a.reason = ReasonOverRate
		after := admission.RetryAfterRateLimit(admission.Rejection{TimeLeft: time.Until(a.deadline)}, denied.wait, rand.Float64())
		return notRun(http.StatusTooManyRequests, ReasonOverRate, after)
	}
	response := a.run(ctx)
	if a.sends == 0 {
		g.rates.refund(taken)
	}
	return response
}

// unknown answers a request whose route or key is not in the view. A view that was
// not confirmed lately may lack what is in force elsewhere.
func (g *Gateway) unknown(view *entry.PlanView, request *ingress.Request, status int, reason Reason) *ingress.Response {
	age, confirmed := view.Age(g.cfg.Clock.Now())
	if !confirmed || age > g.cfg.MaxViewAge {
		return g.refuse(request, http.StatusServiceUnavailable, ReasonViewStale)
	}
	g.refusedEarly(request, status, reason)
	return failure(status, reason)
}

func (g *Gateway) refuse(request *ingress.Request, status int, reason Reason) *ingress.Response {
	g.refusedEarly(request, status, reason)
	left := time.Until(g.deadline(request, &plan.Route{Timeout: unknownTimeout}))
	return notRun(status, reason, admission.RetryAfterOutage(admission.Rejection{TimeLeft: left}, rand.Float64()))
}

// refusedEarly notes a request that was refused before it had a route or a customer.
func (g *Gateway) refusedEarly(request *ingress.Request, status int, reason Reason) {
	g.observer.ended("", status, reason, time.Since(request.Received), 0)
	g.requests.refused(request.Header.Get(g.cfg.Headers.RequestID), request, status, reason, g.viewAge())
}

// deadline is when the caller stops waiting or the route's timeout ends.
func (g *Gateway) deadline(request *ingress.Request, route *plan.Route) time.Time {
	text := request.Header.Get(g.cfg.Headers.Deadline)
	if text == "" {
		return request.Received.Add(route.Timeout)
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) {
		// The route's timeout bounds the request, so a wrong header is no reason to refuse it.
		if g.requests.admit(false) {
			g.cfg.Log.WithFields(logrus.Fields{
				"request": request.Header.Get(g.cfg.Headers.RequestID), "value": text,
			}).Warn("deadline of a request not readable: the timeout of its route counts")
		}
		return request.Received.Add(route.Timeout)
	}
	return request.Received.Add(min(route.Timeout, time.Duration(ms*float64(time.Millisecond))))
}

func (g *Gateway) query(request *ingress.Request, route *plan.Route, customer *plan.Customer) placement.Query {
	q := placement.Query{Rank: route.Priority, Urgency: route.Priority, Regions: route.Regions}
	if route.Affinity {
		if object := cookie(request.Header, g.cfg.Headers.ObjectCookie); object != "" {
			q.Object = placement.ObjectHash(route.Name + "/" + object)
		}
	}
	if customer != nil {
		if customer.Priority != nil {
			q.Rank = *customer.Priority
		}
		q.Regions = both(q.Regions, customer.Regions)
	}
	return q
}

// noRegion is what is left of two lists that have nothing in common.
const noRegion = ""

// both returns the regions in both lists; an empty list stands for all.
func both(a, b []string) []string {
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

func cookie(header http.Header, name string) string {
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
