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
		_, readErr = e.startRead(started)
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

// readIndex returns the index up to which everything that was committed before the call is contained, once this
// daemon has applied it. The leader's majority confirms the index.
func (e *Engine) readIndex(ctx context.Context) (uint64, error) {
	applied := make(chan uint64, 1)
	var id uint64
	var readErr error
	err := e.do(ctx, func() {
		if id, readErr = e.startRead(e.cfg.Clock.Now()); readErr == nil {
			e.confirmation.waiters[id] = applied
		}
	})
	if err != nil {
		return 0, errors.Trace(err)
	}
	if readErr != nil {
		return 0, errors.Annotate(ErrNoLeader, readErr.Error())
	}
	select {
	case index := <-applied:
		return index, nil
	case <-ctx.Done():
		// The engine may have stopped; then nobody waits for the read either.
		_ = e.do(context.WithoutCancel(ctx), func() { delete(e.confirmation.waiters, id) })
		return 0, errors.Annotate(ErrNoLeader, ctx.Err().Error())
	case <-e.done:
		return 0, errors.Trace(ErrStopped)
	}
}
