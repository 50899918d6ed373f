package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/forward/reject"
	"pistachiomount.example/pistachiomount/memlimit"
)

// jobsPrefix is the path prefix for reading the state of deferred jobs.
const jobsPrefix = "/v1/jobs/"

// Handler serves and forwards the requests of an entry VM. It is safe for concurrent use.
type Handler struct {
	cfg     Config
	running registry
	// requestMemory and responseMemory bound the buffered bodies of all requests and responses.
	requestMemory, responseMemory *memlimit.Budget
}

// New returns a Handler.
func New(cfg Config) *Handler {
	h := &Handler{cfg: cfg.withDefaults()}
	h.requestMemory = memlimit.NewBudget(h.cfg.Limits.BodyMemory)
	h.responseMemory = memlimit.NewBudget(h.cfg.Limits.ResponseMemory)
	return h
}

// Revalidate cancels every running request whose key the view no longer permits. Once the
// view has been stale for longer than Limits.StaleGrace, it also cancels the requests on
// routes that need a key, except jobs. The entry daemon calls it after every change of the
// view and at least once a second while the view is stale.
func (h *Handler) Revalidate(v View) { h.running.revalidate(v, h.cfg.Limits) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	x := h.newExchange()
	ctx, span := h.cfg.Tracer.Start(r.Context(), "forward", trace.WithSpanKind(trace.SpanKindServer))
	x.summary.Aborted = true // until the response is complete
	defer x.end(span, started)
	c := newCaller(w, r, h.cfg.Limits.WriteTimeout)
	w.Header()["X-Request-Id"] = []string{x.id}
	if rejection := x.serve(ctx, c, r); rejection != nil {
		x.summary.Reason, x.summary.Run = rejection.Reason, rejection.Run
		x.summary.Status = rejection.Reason.Status()
		c.reject(rejection, r.ContentLength != 0 && !x.bodyRead)
	}
	if x.awaitRecord != nil {
		_ = c.rc.Flush() // the response must not wait for the record; not supported by recorders in tests
	}
	x.summary.Aborted = false
}

// end reports the request. It also runs when the caller's connection is aborted.
func (x *exchange) end(span trace.Span, started time.Time) {
	x.releasePermit()
	if x.awaitRecord != nil {
		x.awaitRecord()
	}
	x.h.requestMemory.Release(x.bodyReserved)
	x.summary.Elapsed = time.Since(started)
	x.summary.Customer = x.identity.customer
	if x.route != nil {
		x.summary.Service, x.summary.Route = x.service.Name, x.route.Prefix
	}
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("service", x.summary.Service),
			attribute.String("route", x.summary.Route),
			attribute.String("customer", x.summary.Customer),
			attribute.String("request_id", x.id),
			attribute.Int("http.response.status_code", x.summary.Status),
			attribute.String("reject.reason", string(x.summary.Reason)),
			attribute.Bool("aborted", x.summary.Aborted),
		)
	}
	span.End()
	x.h.cfg.Observer.RequestEnded(x.summary)
}

func (x *exchange) serve(ctx context.Context, c *caller, r *http.Request) *reject.Rejection {
	key, rejection := x.parseRequest(r)
	if rejection != nil {
		return rejection
	}
	if rejection := x.awaitView(ctx, r.Header); rejection != nil {
		return rejection
	}
	if strings.HasPrefix(x.target.Path, jobsPrefix) {
		return x.serveJob(ctx, c, key)
	}
	if rejection = x.admit(r, key); rejection != nil {
		return rejection
	}
	if rejection = x.receiveBody(c, r, key); rejection != nil {
		return rejection
	}
	if x.claimKey != "" {
		// The outcome must be recorded even if the caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	defer x.start(ctx)()
	return x.dispatch(c)
}

// dispatch handles the request by the mode of its route. Each branch starts with a check
// of the view, which may have changed after the key was checked and before Revalidate
// could find the request.
func (x *exchange) dispatch(c *caller) *reject.Rejection {
	switch {
	case isDeferred(x.route):
		return x.enqueue(c)
	case x.claimKey != "":
		return x.serveClaimed(c)
	}
	a, rejection := x.forward()
	if rejection != nil {
		return rejection
	}
	defer a.close()
	x.sendResponse(c, a)
	return nil
}

// forward sends the request to upstreams, with retries if its route is idempotent.
func (x *exchange) forward() (*attempt, *reject.Rejection) {
	if rejection := x.checkStillAllowed(); rejection != nil {
		return nil, rejection
	}
	if rejection := x.acquirePermit(); rejection != nil {
		return nil, rejection
	}
	if rejection := x.checkStillAllowed(); rejection != nil { // there may have been a pause while it waited
		return nil, rejection
	}
	if x.mayBeRepeated() {
		return newRace(x).run()
	}
	return x.sendOnce()
}
