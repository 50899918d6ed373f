package forward

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/forward/reject"
)

// completeRetryInterval separates the attempts to record an outcome; an election of the
// control group lasts a few of them.
const completeRetryInterval = 300 * time.Millisecond

// serveClaimed runs a request under a committed claim. The queue permit is acquired first,
// so that requests rejected under load do not cost a commit.
func (x *exchange) serveClaimed(c *caller) *reject.Rejection {
	if rejection := x.checkStillAllowed(); rejection != nil {
		return rejection
	}
	if rejection := x.acquirePermit(); rejection != nil {
		return rejection
	}
	claim := x.claimRequest()
	reply, err := x.h.cfg.Claims.Claim(x.ctx, claim)
	if err != nil {
		// The claim may be committed. It is released so that a retry by the caller can
		// run.
		x.recordOutcomeAsync(claim, &apipb.Outcome{NotRun: true})
		return x.claimFailed()
	}
	switch reply.GetStatus() {
	case apipb.ClaimStatus_CLAIM_STATUS_GRANTED:
		return x.runClaimed(c, claim)
	case apipb.ClaimStatus_CLAIM_STATUS_RUNNING:
		return reject.NewUnknown(reject.OutcomeUnknown, "a request with this Idempotency-Key was started; its outcome is not known")
	case apipb.ClaimStatus_CLAIM_STATUS_DONE:
		return x.replay(c, reply.GetOutcome())
	case apipb.ClaimStatus_CLAIM_STATUS_MISMATCH:
		return reject.New(reject.IdempotencyConflict, "the Idempotency-Key was used with another request")
	}
	return reject.New(reject.OverCapacity, "no claim can be recorded").WithRetryAfter(retrySoon)
}

func (x *exchange) claimFailed() *reject.Rejection {
	if x.ctx.Err() != nil {
		return x.rejectionFor(context.Cause(x.ctx))
	}
	return reject.New(reject.OverCapacity, "the claim could not be committed").WithRetryAfter(retrySoon)
}

func (x *exchange) claimRequest() *apipb.ClaimRequest {
	return &apipb.ClaimRequest{
		Customer: x.identity.customer, Route: x.service.Name + x.route.Prefix, IdempotencyKey: x.claimKey,
		BodyDigest: x.digest(), Holder: x.h.cfg.Holder, HolderIncarnation: x.h.cfg.Incarnation,
		AttemptId: x.h.cfg.Random(),
	}
}

// digest covers everything that decides what the request does. With the body alone, the
// same key could be replayed on another path of the route.
func (x *exchange) digest() []byte {
	sum := sha256.New()
	_, _ = io.WriteString(sum, x.method+" "+x.target.String()+"\n") // writing to a hash never fails
	_, _ = sum.Write(x.body)
	return sum.Sum(nil)
}

func (x *exchange) runClaimed(c *caller, claim *apipb.ClaimRequest) *reject.Rejection {
	rejection := x.checkStillAllowed()
	var a *attempt
	if rejection == nil {
		a, rejection = x.sendOnce()
	}
	if rejection != nil {
		if rejection.Run == reject.NotRun {
			x.recordOutcomeAsync(claim, &apipb.Outcome{NotRun: true})
		}
		return rejection
	}
	defer a.close()
	outcome := a.outcome(x.h.cfg.Limits.MaxStoredOutcome)
	if a.complete {
		x.recordOutcomeAsync(claim, outcome)
		x.sendResponse(c, a)
		return nil
	}
	x.sendResponse(c, a) // panics if the response was truncated
	x.recordOutcomeAsync(claim, outcome)
	return nil
}

// outcome copies the response for the record. The body is omitted if it exceeds the limit
// or is not complete yet.
func (a *attempt) outcome(limit int) *apipb.Outcome {
	o := &apipb.Outcome{StatusCode: int32(a.resp.StatusCode), Headers: flatten(a.resp.Header)}
	if body := a.buf.bytes(); a.complete && len(body) <= limit {
		o.Body = append([]byte(nil), body...)
	} else {
		o.BodyOmitted = true
	}
	return o
}

// recordOutcomeAsync starts to record an outcome. The response does not wait for it, but
// the end of the request does, so that a planned stop loses no outcome.
func (x *exchange) recordOutcomeAsync(claim *apipb.ClaimRequest, outcome *apipb.Outcome) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		x.h.recordOutcome(context.WithoutCancel(x.ctx), &apipb.CompleteRequest{
			Customer: claim.Customer, Route: claim.Route, IdempotencyKey: claim.IdempotencyKey,
			AttemptId: claim.AttemptId, Outcome: outcome,
		})
	}()
	x.awaitRecord = func() { <-done }
}

// recordOutcome tries a limited number of times. If all attempts fail, the claim stays
// running, and duplicates get an unknown outcome but never run.
func (h *Handler) recordOutcome(ctx context.Context, req *apipb.CompleteRequest) {
	for try := range maxCompleteAttempts {
		if try > 0 {
			time.Sleep(completeRetryInterval)
		}
		bounded, cancel := context.WithTimeout(ctx, h.cfg.Limits.CompleteTimeout)
		_, err := h.cfg.Claims.Complete(bounded, req)
		cancel()
		if err == nil {
			return
		}
	}
}

// replay sends the recorded outcome of the first request.
func (x *exchange) replay(c *caller, o *apipb.Outcome) *reject.Rejection {
	status := int(o.GetStatusCode())
	if status < http.StatusOK || status > 599 || o.GetBodyOmitted() || o.GetNotRun() {
		return reject.NewUnknown(reject.OutcomeUnknown, "the request ran; its answer was not kept")
	}
	x.releasePermit()
	h := c.w.Header()
	for name, value := range o.GetHeaders() {
		h[name] = []string{value}
	}
	h["Idempotency-Replayed"] = []string{"true"}
	if mayHaveBody(x.method, status) {
		h["Content-Length"] = []string{strconv.Itoa(len(o.GetBody()))}
	}
	x.summary.Status, x.summary.Replayed = status, true
	c.extendWriteDeadline()
	c.w.WriteHeader(status)
	if c.write(o.GetBody()) != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}
