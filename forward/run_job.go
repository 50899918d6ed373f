package forward

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/trace"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/forward/reject"
	"pistachiomount.example/pistachiomount/forward/sanitize"
)

// RunJob sends a deferred request. An error is a *reject.Rejection, whose Run says whether
// the job may be queued again. The job must have been marked as started if it is not
// idempotent.
func (h *Handler) RunJob(ctx context.Context, job *apipb.Job) (*apipb.Outcome, error) {
	started := time.Now()
	x := h.newExchange()
	ctx, span := h.cfg.Tracer.Start(ctx, "job", trace.WithSpanKind(trace.SpanKindConsumer))
	defer x.end(span, started)
	outcome, rejection := x.runJob(ctx, job)
	if rejection != nil {
		x.summary.Reason, x.summary.Run = rejection.Reason, rejection.Run
		return nil, rejection
	}
	x.summary.Status = int(outcome.GetStatusCode())
	return outcome, nil
}

func (x *exchange) runJob(ctx context.Context, job *apipb.Job) (*apipb.Outcome, *reject.Rejection) {
	if rejection := x.awaitView(ctx, nil); rejection != nil {
		return nil, rejection
	}
	if rejection := x.restoreJob(ctx, job); rejection != nil {
		return nil, rejection
	}
	defer x.start(ctx)()
	a, rejection := x.forward()
	if rejection != nil {
		return nil, rejection
	}
	defer a.close()
	outcome := a.outcome(x.h.cfg.Limits.MaxStoredOutcome)
	if !a.complete {
		if a.err = a.drainBody(); a.err != nil {
			x.sent = true
			return nil, x.attemptRejection(a.err)
		}
	}
	return outcome, nil
}

// restoreJob restores the request from the job. The route may have changed since the job
// was accepted, so the request is retried only if both the old and the new route are
// idempotent.
func (x *exchange) restoreJob(ctx context.Context, job *apipb.Job) *reject.Rejection {
	var rejection *reject.Rejection
	if x.target, rejection = parseTarget(job.GetPath()); rejection != nil {
		return rejection
	}
	match, ok := x.view.Index.Match(x.target.Path)
	if !ok || match.Service.Name != job.GetService() {
		return reject.New(reject.RouteUnknown, "no route has this path any more")
	}
	route := *match.Route
	route.Idempotent = route.Idempotent && job.GetIdempotent()
	x.service, x.route, x.method, x.body = match.Service, &route, job.GetMethod(), job.GetBody()
	x.identity = identity{customer: job.GetCustomer(), service: job.GetService(), keyRequired: true, preauthenticated: true}
	x.query = Query{Service: job.GetService(), Customer: job.GetCustomer(), From: x.view.Region}
	x.header = jobHeader(job)
	x.deadline = time.Now().Add(route.Deadline())
	if err := x.identity.check(x.view); err != nil {
		return x.rejectionFor(err)
	}
	return x.acquireRate(ctx)
}

func jobHeader(job *apipb.Job) http.Header {
	h := make(http.Header, len(job.GetHeaders()))
	for name, value := range job.GetHeaders() {
		h[http.CanonicalHeaderKey(name)] = []string{value}
	}
	return sanitize.FilterRequestHeader(h, "")
}

// drainBody reads the response to its end to find out whether it is complete.
func (a *attempt) drainBody() error {
	for {
		a.buf.clear()
		if _, err := a.read(a.buf.freeSpace(readChunk)); err != nil {
			return ignoreEOF(err)
		}
	}
}
