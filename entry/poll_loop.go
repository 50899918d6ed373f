package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// pollLoop polls control daemons and rotates to the next one after a failure. It logs
// only the first of consecutive failures, and the recovery.
type pollLoop struct {
	controls *controls
	log      logrus.FieldLogger
	// subject names what is polled, for log messages.
	subject string
	// knowledge tells whether the process was paused during a poll.
	knowledge *knowledge

	failing     bool
	failedPolls atomic.Uint64
}

// run polls until the context ends. poll returns the address that it asked.
func (l *pollLoop) run(ctx context.Context, poll func(context.Context) (string, error)) {
	for ctx.Err() == nil {
		run, began := l.knowledge.run(), time.Now()
		address, err := poll(ctx)
		if err != nil && ctx.Err() != nil {
			return
		}
		l.report(address, err)
		if err != nil {
			l.failedPolls.Add(1)
			if l.knowledge.run() != run {
				continue // the pause made the poll fail, not the daemon, and requests wait for the next one
			}
			l.controls.rotate(address)
			pause(ctx, retryDelay-time.Since(began)) // a poll that waited has delayed the next one enough
		}
	}
}

func (l *pollLoop) report(address string, err error) {
	switch {
	case err != nil && !l.failing:
		l.log.WithError(err).WithField("control", address).Warn(l.subject + " not confirmed")
	case err == nil && l.failing:
		l.log.Info(l.subject + " confirmed again")
	}
	l.failing = err != nil
}
