package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/forward/reject"
)

// minSpareTurns is how many turns stay free for callers while a job starts.
const minSpareTurns = 1

// runJobs runs deferred jobs from spare capacity, one at a time.
func (d *Daemon) runJobs(ctx context.Context) {
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for d.mayRunJob() && d.runJob(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// mayRunJob reports whether this VM has capacity that no caller waits for.
func (d *Daemon) mayRunJob() bool {
	return d.lifecycle.State() == apipb.VmState_VM_STATE_SERVING && len(d.spareServices()) > 0
}

func (d *Daemon) spareServices() []string {
	var names []string
	for _, s := range d.keeper.load().index.Document().Services {
		if d.queue.spare(s.Name) > minSpareTurns {
			names = append(names, s.Name)
		}
	}
	return names
}

// runJob takes one job and runs it; false means that there was none.
func (d *Daemon) runJob(ctx context.Context) bool {
	attempt := rand.Uint64() | 1 // 0 marks jobs without an attempt
	reply, err := d.commands.start(ctx, &apipb.StartJobRequest{
		Environment: d.cfg.Environment, Services: d.spareServices(), Holder: d.cfg.VM, AttemptId: attempt,
	})
	if err != nil || reply.GetJob() == nil {
		return false
	}
	outcome, err := d.forwarder.RunJob(ctx, reply.Job)
	d.finishJob(reply.Job, attempt, outcome, err)
	return true
}

// finishJob records the end of an attempt. A job that certainly did not run goes
// back to the queue; so does an idempotent one without an answer.
func (d *Daemon) finishJob(job *apipb.Job, attempt uint64, outcome *apipb.Outcome, err error) {
	request := &apipb.FinishJobRequest{JobId: job.Id, AttemptId: attempt, Outcome: outcome}
	if err != nil {
		var rejection *reject.Rejection
		notRun := errors.As(err, &rejection) && rejection.Run == reject.NotRun
		if !notRun && !job.Idempotent {
			return // its outcome is unknown; the control daemons record that at its deadline
		}
		request.Requeue = true
	}
	if _, err := d.commands.finish(context.Background(), request); err != nil {
		d.cfg.Log.WithError(err).WithField("job", job.Id).Warn("end of job not recorded")
	}
}
