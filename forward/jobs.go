package forward

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/forward/reject"
)

// jobStatusDeadline limits the time for reading a job's state.
const jobStatusDeadline = 5 * time.Second

type jobResponse struct {
	JobID   string      `json:"job_id"`
	State   string      `json:"state,omitempty"`
	Outcome *jobOutcome `json:"outcome,omitempty"`
}

type jobOutcome struct {
	StatusCode  int32             `json:"status_code"`
	Headers     map[string]string `json:"headers,omitempty"`
	Body        []byte            `json:"body,omitempty"` // base64
	BodyOmitted bool              `json:"body_omitted,omitempty"`
}

var jobStates = map[apipb.JobState]string{
	apipb.JobState_JOB_STATE_QUEUED:  "queued",
	apipb.JobState_JOB_STATE_STARTED: "started",
	apipb.JobState_JOB_STATE_DONE:    "done",
	apipb.JobState_JOB_STATE_UNKNOWN: "unknown",
}

// enqueue adds a deferred request to the job queue.
func (x *exchange) enqueue(c *caller) *reject.Rejection {
	if rejection := x.checkStillAllowed(); rejection != nil {
		return rejection
	}
	reply, err := x.h.cfg.Jobs.Enqueue(x.ctx, &apipb.EnqueueRequest{Job: x.job()})
	switch {
	case err != nil:
		return reject.NewUnknown(reject.OutcomeUnknown, "it is not known whether the job was accepted")
	case reply.GetFull():
		return reject.New(reject.JobsFull, "the job queue is full").WithRetryAfter(retrySoon)
	case reply.GetMismatch():
		return reject.New(reject.IdempotencyConflict, "the Idempotency-Key was used with another request")
	}
	c.w.Header().Set("Location", jobsPrefix+reply.GetJobId())
	if reply.GetRepeated() {
		c.w.Header().Set("Idempotency-Replayed", "true")
	}
	x.sendJSON(c, http.StatusAccepted, jobResponse{JobID: reply.GetJobId()})
	return nil
}

func (x *exchange) job() *apipb.Job {
	return &apipb.Job{
		Id: x.id, Environment: x.h.cfg.Environment, Customer: x.identity.customer,
		Service: x.service.Name, Route: x.route.Prefix, Idempotent: x.route.Idempotent,
		Method: x.method, Path: x.target.String(), Headers: flatten(x.header), Body: x.body,
		DeadlineMs: x.route.DeadlineMS, IdempotencyKey: x.claimKey, BodyDigest: x.digest(),
	}
}

// serveJob returns the state of a job to the customer that owns it. A job of another
// customer is reported as not found.
func (x *exchange) serveJob(ctx context.Context, c *caller, key string) *reject.Rejection {
	if x.method != http.MethodGet {
		return reject.New(reject.MethodNotAllowed, "jobs are read with GET")
	}
	if rejection := x.identifyOwner(ctx, key); rejection != nil {
		return rejection
	}
	x.deadline = time.Now().Add(jobStatusDeadline)
	defer x.start(ctx)()
	reply, err := x.h.cfg.Jobs.Status(x.ctx, &apipb.JobStatusRequest{
		JobId: strings.TrimPrefix(x.target.Path, jobsPrefix), Customer: x.identity.customer,
	})
	if rejection := x.checkStillAllowed(); rejection != nil {
		return rejection // the key was revoked while the state was read
	}
	if err != nil {
		return reject.New(reject.OverCapacity, "the state of the job could not be read").WithRetryAfter(retrySoon)
	}
	if !reply.GetFound() || reply.GetJob().GetCustomer() != x.identity.customer {
		return reject.New(reject.RouteUnknown, "no such job")
	}
	x.sendJSON(c, http.StatusOK, newJobResponse(reply.GetJob()))
	return nil
}

func (x *exchange) identifyOwner(ctx context.Context, key string) *reject.Rejection {
	x.identity.anyService = true
	if rejection := x.identify(key, true); rejection != nil {
		return rejection
	}
	return x.acquireRate(ctx)
}

func newJobResponse(job *apipb.Job) jobResponse {
	a := jobResponse{JobID: job.GetId(), State: jobStates[job.GetState()]}
	if o := job.GetOutcome(); o != nil {
		a.Outcome = &jobOutcome{
			StatusCode: o.GetStatusCode(), Headers: o.GetHeaders(), Body: o.GetBody(), BodyOmitted: o.GetBodyOmitted(),
		}
	}
	return a
}

func (x *exchange) sendJSON(c *caller, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler) // only plain strings, numbers and bytes are encoded
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set("Cache-Control", "no-store")
	x.summary.Status = status
	c.extendWriteDeadline()
	c.w.WriteHeader(status)
	if c.write(body) != nil {
		panic(http.ErrAbortHandler)
	}
}
