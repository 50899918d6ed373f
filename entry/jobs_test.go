package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/forward/reject"
)

// jobFixture is a job runner with one fake control daemon.
type jobFixture struct {
	*jobRunner
	job      *apipb.Job
	startErr error
	outcome  *apipb.Outcome
	runErr   error
	attempts []uint64
	finished []*apipb.FinishJobRequest
	runs     int
}

func newJobFixture(idempotent bool) *jobFixture {
	r := &jobFixture{job: &apipb.Job{Id: "j", Idempotent: idempotent}, outcome: &apipb.Outcome{StatusCode: 200}}
	control := &fakeControl{
		start: func(_ context.Context, in *apipb.StartJobRequest) (*apipb.StartJobReply, error) {
			r.attempts = append(r.attempts, in.AttemptId)
			return &apipb.StartJobReply{Job: r.job}, r.startErr
		},
		finish: func(_ context.Context, in *apipb.FinishJobRequest) (*apipb.FinishJobReply, error) {
			r.finished = append(r.finished, in)
			return &apipb.FinishJobReply{Recorded: true}, nil
		},
	}
	id := uint64(0)
	r.jobRunner = &jobRunner{
		commands: &commands{controls: newControls([]string{"a"}, 0, &fakeDialer{daemons: map[string]*fakeControl{"a": control}})},
		log:      discardLog(), services: func() []string { return []string{"svc"} },
		run: func(context.Context, *apipb.Job) (*apipb.Outcome, error) {
			r.runs++
			if r.runErr != nil {
				return nil, r.runErr
			}
			return r.outcome, nil
		},
		random: func() uint64 { id += 2; return id }, active: make(chan struct{}, 1),
	}
	return r
}

// Guards against losing a job that did not run, and against reporting a job as not run
// that an upstream may have executed.
func TestJobOutcomes(t *testing.T) {
	notRun := reject.New(reject.OverRate, "later")
	unknown := reject.NewUnknown(reject.OutcomeUnknown, "lost")
	for _, c := range []struct {
		name       string
		idempotent bool
		err        error
		reported   int
		requeued   bool
		want       jobResult
	}{
		{"ran", false, nil, 1, false, jobEnded},
		{"did not run", false, notRun, 1, true, jobRequeued},
		{"did not run, idempotent", true, notRun, 1, true, jobRequeued},
		{"may have run", false, unknown, 0, false, jobEnded},
		{"may have run, idempotent", true, unknown, 1, true, jobRequeued},
		{"unexpected error", false, errFake, 0, false, jobEnded},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newJobFixture(c.idempotent)
			r.runErr = c.err
			is.Equal(r.runOne(t.Context()), c.want)
			is.Equal(len(r.finished), c.reported)
			if c.reported == 1 {
				is.Equal(r.finished[0].AttemptId, r.attempts[0])
				is.Equal(r.finished[0].Requeue, c.requeued)
				is.Equal(r.finished[0].Outcome == nil, c.requeued)
			}
		})
	}
}

// Guards against a second job assigned to one start, and against a job whose attempt is
// never continued: a start whose answer was lost is repeated under the same ID.
func TestOneAttemptForEachStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newJobFixture(false)
		r.startErr = errFake
		is.Equal(r.runOne(t.Context()), jobNone)
		r.startErr = nil
		is.Equal(r.runOne(t.Context()), jobEnded)
		for _, id := range r.attempts {
			is.Equal(id, r.attempts[0]) // the retries and the next start
		}
		before := len(r.attempts)
		is.Equal(r.runOne(t.Context()), jobEnded)
		is.Equal(len(r.attempts), before+1)
		is.True(r.attempts[before] != r.attempts[0])
		is.Equal(r.runs, 2)
	})
}

// Guards against a job that cannot run and is restarted without delay, at two commits
// per attempt.
func TestRequeuedJobsWaitLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newJobFixture(true)
		r.runErr = reject.New(reject.OverRate, "later")
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r.loop(ctx)
		is.True(r.runs > 5)
		is.True(r.runs < 15)
	})
}

// Guards against a planned stop that interrupts a job or starts another.
func TestCloseWaitsForTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newJobFixture(false)
		finish := make(chan struct{})
		r.run = func(context.Context, *apipb.Job) (*apipb.Outcome, error) {
			r.runs++
			<-finish
			return r.outcome, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		go r.loop(ctx)
		closed := make(chan error, 1)
		time.Sleep(time.Second)
		go func() { closed <- r.close(ctx) }()
		synctest.Wait()
		is.Equal(len(closed), 0)
		close(finish)
		is.NoErr(<-closed)
		runs := r.runs
		is.Equal(len(r.finished), runs)
		time.Sleep(time.Minute)
		is.Equal(r.runs, runs)
		cancel()
	})
}
