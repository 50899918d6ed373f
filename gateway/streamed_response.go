package gateway

import (
	"time"

	"pistachiomount.example/pistachiomount/gateway/admission"
	"pistachiomount.example/pistachiomount/gateway/egress"
	"pistachiomount.example/pistachiomount/gateway/link"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
)

// streamCondition returns when a long response to the next attempt may be streamed; nil if never. A VM in a planned stop
// streams none: on a day with planned stops, responses that had begun were cut.
func (r *routedRequest) streamCondition() func(now time.Time, length int64) bool {
	if !link.Slow(r.gateway.cfg.LinkRate) || r.gateway.stopsAt.Load() != 0 {
		return nil
	}
	streaming := admission.Streaming{
		Repeatable: r.route.Idempotent, AttemptsLeft: !r.exhaustedAfter(r.sends + 1),
		Target: r.target(), AverageResponse: r.gateway.latencies.average(r.route.Name),
	}
	return func(now time.Time, length int64) bool {
		// The end of a response without a length can be marked to callers of HTTP/1.1 only.
		return (length >= 0 || !r.request.HTTP10) && streaming.Allowed(now)
	}
}

// target is when the caller needs the response; a route without a target needs it by the deadline.
func (r *routedRequest) target() time.Time {
	if r.route.Target <= 0 {
		return r.deadline
	}
	return r.request.Received.Add(r.route.Target)
}

// releaseAfterStream releases the slot once the body has been read from the upstream, and records the outcome.
func (r *routedRequest) releaseAfterStream(
	chosen inventory.Upstream, sent time.Time, reply *egress.Reply, outcome placement.Outcome,
) {
	reply.WhenStreamed(func(end egress.StreamEnd) {
		outcome.ResponseBytes = int(end.Bytes)
		switch {
		case end.Complete && !end.Stalled:
			outcome.LatencyRatio = r.gateway.latencies.record(r.route.Name, time.Since(sent))
		case end.Cut:
			outcome.Failed, outcome.Endless = true, end.Endless
			r.gateway.requests.logCutResponse(r, chosen, end, time.Since(sent))
		}
		r.service.permits.release(chosen.ID, outcome)
		r.gateway.metrics.countStreamed(r.serviceName(), end)
	})
}
