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

// minSparePermits is how many turns stay free for callers while a job starts.
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

	// pendingAttempt is the attempt whose start was not answered: it may have been given
	// a job, which only the same attempt gets again.
	pendingAttempt uint64
	// active holds one element while a job runs, and for good once closed.
	active chan struct{}

	ended, requeued, unknown atomic.Uint64
}

// jobResult is how one look for a job ended.
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

// nextDelay grows while jobs cannot run, for example because their customer's
// rate is used up: without a pause the same job would go round at full speed.
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

// close waits for the job under way and starts no other.
func (r *jobRunner) close(ctx context.Context) error {
	select {
	case r.active <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "a deferred job still runs")
	}
}

// runOne takes one job and runs it.
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

// start takes a job under an attempt id that no other start has used.
func (r *jobRunner) start(ctx context.Context, services []string) (*apipb.Job, uint64) {
	if r.pendingAttempt == 0 {
		r.pendingAttempt = r.random() | 1 // 0 marks jobs without an attempt
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

// finish records the end of an attempt. A job that certainly did not run goes
// back to the queue; so does an idempotent one without an answer.
func (r *jobRunner) finish(job *apipb.Job, attempt uint64, outcome *apipb.Outcome, err error) jobResult {
	request := &apipb.FinishJobRequest{JobId: job.Id, AttemptId: attempt, Outcome: outcome}
	result := jobEnded
	if err != nil {
		if !notRun(err) && !job.Idempotent {
			return jobEnded // its outcome is unknown; the control daemons record that at its deadline
		}
		request.Requeue, result = true, jobRequeued
	}
	if _, err := r.commands.finish(context.Background(), request); err != nil {
		r.log.WithError(err).WithField("job", job.Id).Warn("end of job not recorded")
	}
	return result
}

func notRun(err error) bool {
	var rejection *reject.Rejection
	return errors.As(err, &rejection) && rejection.Run == reject.NotRun
}

// servicesForJobs returns the services with capacity that no caller waits for.
// It returns none while no job waits: asking four times a second was a sixth of
// the processor time of an idle daemon.
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
