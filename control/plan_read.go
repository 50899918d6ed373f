package control

import (
	"context"
	"io"

	"github.com/juju/errors"
)

// minEarlyBytes is the size from which a plan is sent while it is confirmed. A caller in another region gives up
// before both are done one after the other.
const minEarlyBytes = 256 << 10

// PlanRead is the newest plan as its operator sent it.
type PlanRead struct {
	// Source is nil if there is no plan.
	Source []byte
	// confirm waits until it is known whether the source was current when the read began; nil if it is.
	confirm func() error
}

// Send writes the source. It withholds the end of one that is not confirmed yet: after an error, the receiver must
// not take what it got for complete.
func (r *PlanRead) Send(w io.Writer) error {
	if r.confirm == nil {
		_, err := w.Write(r.Source)
		return errors.Trace(err)
	}
	last := len(r.Source) - 1
	if _, err := w.Write(r.Source[:last]); err != nil {
		return errors.Trace(err)
	}
	if err := r.confirm(); err != nil {
		return errors.Trace(err)
	}
	_, err := w.Write(r.Source[last:])
	return errors.Trace(err)
}

// ReadPlan returns the newest routing plan. It fails if this daemon cannot confirm that its state is current; for
// a long plan, Send does.
func (d *Daemon) ReadPlan(ctx context.Context) (*PlanRead, error) {
	engine, err := d.currentEngine()
	if err != nil {
		return nil, errors.Trace(err)
	}
	source, revision, err := d.planSource(ctx, engine)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(source) >= minEarlyBytes {
		confirmed := make(chan error, 1)
		go func() { confirmed <- engine.confirmPlan(ctx, revision) }()
		return &PlanRead{Source: source, confirm: func() error { return <-confirmed }}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCommandTimeout)
	defer cancel()
	if err := engine.barrier(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	source, _, err = d.planSource(ctx, engine)
	return &PlanRead{Source: source}, errors.Trace(err)
}

// planSource returns the source and the revision of the newest plan that this daemon knows. It fails if there is
// no leader that could confirm it.
func (d *Daemon) planSource(ctx context.Context, engine *Engine) (source []byte, revision uint64, err error) {
	var compressed []byte
	var leader uint64
	err = engine.do(ctx, func() {
		compressed, revision = engine.store.PlanSource(), engine.store.PlanRevisionAt(engine.appliedIndex)
		leader = engine.node.Status().Leader
	})
	switch {
	case err != nil:
		return nil, 0, errors.Trace(err)
	case leader == 0:
		return nil, 0, errors.Trace(ErrNoLeader)
	case compressed == nil:
		return nil, 0, nil
	}
	source, err = d.source.decompress(compressed)
	return source, revision, errors.Trace(err)
}

// confirmPlan returns an error unless the plan with a revision was the newest one when the call began.
func (e *Engine) confirmPlan(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, operatorCommandTimeout)
	defer cancel()
	index, err := e.readIndex(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	var newest uint64
	if err := e.do(ctx, func() { newest = e.store.PlanRevisionAt(index) }); err != nil {
		return errors.Trace(err)
	}
	if newest > revision {
		return errors.Annotatef(ErrStalePlan, "revision %d, %d is in force", revision, newest)
	}
	return nil
}
