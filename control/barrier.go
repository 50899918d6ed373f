package control

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
)

// barrier waits until this daemon has applied everything that was committed before
// the call, as confirmed by the leader's majority.
func (e *Engine) barrier(ctx context.Context) error {
	var started clock.Instant
	var readErr error
	err := e.do(ctx, func() {
		started = e.cfg.Clock.Now()
		readErr = e.node.ReadIndex(e.confirmation.startRead(started))
	})
	if err != nil {
		return errors.Trace(err)
	}
	if readErr != nil {
		return errors.Annotate(ErrNoLeader, readErr.Error())
	}
	for {
		reached := false
		var changed <-chan struct{}
		err := e.do(ctx, func() {
			reached = e.confirmation.confirmed && e.confirmation.confirmedAt.Mono >= started.Mono
			changed = e.changed
		})
		if err != nil || reached {
			return errors.Trace(err)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Annotate(ErrNoLeader, ctx.Err().Error())
		case <-e.done:
			return errors.Trace(ErrStopped)
		}
	}
}
