package entry

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// commands sends claims and jobs to the control daemons. Every command is idempotent,
// so that one that failed can be sent to another daemon.
type commands struct {
	controls *controls
}

// maxCommandAttempts is the number of attempts for a command, each at another control
// daemon.
const maxCommandAttempts = 3

// commandAttemptTimeout bounds one attempt, so that an unresponsive daemon leaves time
// for the others.
const commandAttemptTimeout = commandTimeout / maxCommandAttempts

// callWithRetry calls f with clients of different control daemons until it succeeds
// or the attempts are used up.
func callWithRetry[T any](ctx context.Context, c *controls, f func(context.Context, apipb.DRPCControlClient) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var zero T
	var last error
	for range maxCommandAttempts {
		reply, address, err := callOnce(ctx, c, f)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			return zero, errors.Trace(err)
		}
		last = err
		c.rotate(address)
		pause(ctx, retryDelay)
	}
	return zero, errors.Trace(last)
}

// callOnce calls f with the current control daemon and returns its address.
func callOnce[T any](ctx context.Context, c *controls, f func(context.Context, apipb.DRPCControlClient) (T, error)) (T, string, error) {
	client, address, err := c.current()
	if err != nil {
		var zero T
		return zero, address, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, commandAttemptTimeout)
	defer cancel()
	reply, err := f(ctx, client)
	return reply, address, errors.Trace(err)
}

// Claim commits that a request is about to run.
func (c *commands) Claim(ctx context.Context, request *apipb.ClaimRequest) (*apipb.ClaimReply, error) {
	return callWithRetry(ctx, c.controls, func(ctx context.Context, client apipb.DRPCControlClient) (*apipb.ClaimReply, error) {
		return client.Claim(ctx, request)
	})
}

// Complete commits the outcome of a claimed request.
func (c *commands) Complete(ctx context.Context, request *apipb.CompleteRequest) (*apipb.CompleteReply, error) {
	return callWithRetry(ctx, c.controls, func(ctx context.Context, client apipb.DRPCControlClient) (*apipb.CompleteReply, error) {
		return client.Complete(ctx, request)
	})
}

// Enqueue commits a deferred job.
func (c *commands) Enqueue(ctx context.Context, request *apipb.EnqueueRequest) (*apipb.EnqueueReply, error) {
	return callWithRetry(ctx, c.controls, func(ctx context.Context, client apipb.DRPCControlClient) (*apipb.EnqueueReply, error) {
		return client.Enqueue(ctx, request)
	})
}

// Status returns the state of a customer's job.
func (c *commands) Status(ctx context.Context, request *apipb.JobStatusRequest) (*apipb.JobStatusReply, error) {
	return callWithRetry(ctx, c.controls, func(ctx context.Context, client apipb.DRPCControlClient) (*apipb.JobStatusReply, error) {
		return client.JobStatus(ctx, request)
	})
}

// start commits the start of a queued job and returns it.
func (c *commands) start(ctx context.Context, request *apipb.StartJobRequest) (*apipb.StartJobReply, error) {
	return callWithRetry(ctx, c.controls, func(ctx context.Context, client apipb.DRPCControlClient) (*apipb.StartJobReply, error) {
		return client.StartJob(ctx, request)
	})
}

// finish commits the outcome of a job or returns the job to the queue.
func (c *commands) finish(ctx context.Context, request *apipb.FinishJobRequest) (*apipb.FinishJobReply, error) {
	return callWithRetry(ctx, c.controls, func(ctx context.Context, client apipb.DRPCControlClient) (*apipb.FinishJobReply, error) {
		return client.FinishJob(ctx, request)
	})
}
