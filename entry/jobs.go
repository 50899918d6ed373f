package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/forward/reject"
)

// minSparePermits is the number of permits that stay free for callers when a job
// starts.
const minSparePermits = 1

// jobRunner runs deferred jobs from spare capacity, one at a time.
type jobRunner struct {
	environment apipb.Environment
	holder      string
	commands    *commands
	log         logrus.FieldLogger
	// services returns the services with spare capacity.
	services func() []string
	run      func(context.Context, *apipb.Job) (*apipb.Outcome, error)
	random   func() uint64

	// pendingAttempt is the ID of an attempt whose start was not answered. The control
	// daemons may have assigned a job to it, which they return only to the same attempt.
	pendingAttempt uint64
	// active is a semaphore held while a job runs, and permanently after close.
	active chan struct{}

	ended, requeued, unknown atomic.Uint64
}

// jobResult is the result of looking for a job and running it.
type jobResult int

const (
	jobNone jobResult = iota
	jobEnded
	jobRequeued
)

// loop runs jobs until the context ends.
func (r *jobRunner) loop(ctx context.Context) {
	wait := jobInterval
	for ctx.Err() == nil {
		pause(ctx, wait)
		last := r.runQueued(ctx)
		wait = nextDelay(wait, last)
	}
}

// nextDelay doubles the delay, up to maxJobDelay, while jobs cannot run, for example
// because the rate of their customer is used up. Without a delay such a job would be
// restarted continuously.
func nextDelay(before time.Duration, last jobResult) time.Duration {
	if last == jobRequeued {
		return min(2*before, maxJobDelay)
	}
	return jobInterval
}

// runQueued runs jobs until there is none or one cannot run.
func (r *jobRunner) runQueued(ctx context.Context) jobResult {
	for {
		select {
		case r.active <- struct{}{}:
		case <-ctx.Done():
			return jobNone
		}
		result := r.runOne(ctx)
		<-r.active
		if result != jobEnded {
			return result
		}
	}
}

// close waits for the running job and prevents others from starting.
func (r *jobRunner) close(ctx context.Context) error {
	select {
	case r.active <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "a deferred job is still running")
	}
}

// runOne starts one job and runs it.
func (r *jobRunner) runOne(ctx context.Context) jobResult {
	services := r.services()
	if len(services) == 0 {
		return jobNone
	}
	job, attempt := r.start(ctx, services)
	if job == nil {
		return jobNone
	}
	outcome, err := r.run(ctx, job)
	result := r.finish(job, attempt, outcome, err)
	r.count(result, err)
	return result
}

func (r *jobRunner) count(result jobResult, err error) {
	switch {
	case result == jobRequeued:
		r.requeued.Add(1)
	case err != nil:
		r.unknown.Add(1)
	default:
		r.ended.Add(1)
	}
}

// start starts a job under an attempt ID that no other start has used.
func (r *jobRunner) start(ctx context.Context, services []string) (*apipb.Job, uint64) {
	if r.pendingAttempt == 0 {
		r.pendingAttempt = r.random() | 1 // 0 means no attempt
	}
	attempt := r.pendingAttempt
	reply, err := r.commands.start(ctx, &apipb.StartJobRequest{
		Environment: r.environment, Services: services, Holder: r.holder, AttemptId: attempt,
	})
	if err != nil {
		return nil, attempt
	}
	r.pendingAttempt = 0
	return reply.GetJob(), attempt
}

// finish records the outcome of an attempt. A job that certainly did not run returns
// to the queue; so does an idempotent one without an answer.
func (r *jobRunner) finish(job *apipb.Job, attempt uint64, outcome *apipb.Outcome, err error) jobResult {
	request := &apipb.FinishJobRequest{JobId: job.Id, AttemptId: attempt, Outcome: outcome}
	result := jobEnded
	if err != nil {
		if !notRun(err) && !job.Idempotent {
			return jobEnded // outcome unknown; the control daemons record that at the job's deadline
		}
		request.Requeue, result = true, jobRequeued
	}
	if _, err := r.commands.finish(context.Background(), request); err != nil {
		r.log.WithError(err).WithField("job", job.Id).Warn("outcome of deferred job not recorded")
	}
	return result
}

func notRun(err error) bool {
	var rejection *reject.Rejection
	return errors.As(err, &rejection) && rejection.Run == reject.NotRun
}

// servicesForJobs returns the services with permits that no caller waits for. It
// returns none while no job is queued: starting jobs four times a second took a sixth
// of the processor time of an idle daemon.
func (d *Daemon) servicesForJobs() []string {
	if d.lifecycle.State() != apipb.VmState_VM_STATE_SERVING || !d.syncer.jobsWaiting.Load() {
		return nil
	}
	var names []string
	for _, s := range d.syncer.load().index.Document().Services {
		if d.queue.spare(s.Name) > minSparePermits {
			names = append(names, s.Name)
		}
	}
	return names
}
