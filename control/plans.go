package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// planTimeout bounds one order of an operator. Its caller turns to another
// daemon after a second, and a resend finds the first answer.
const planTimeout = 950 * time.Millisecond

// SubmitPlan puts a routing plan in force if it builds on the one in force. The source
// is what the operator sent and gets back.
func (d *Daemon) SubmitPlan(ctx context.Context, p *plan.Plan, source []byte) (*apipb.SubmitResult, error) {
	encoded, err := plan.Encode(p)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request := &apipb.SubmitPlan{Base: p.Base, Number: p.Number, Digest: document.Digest(source)}
	if request.Plan, err = plan.Compress(encoded); err != nil {
		return nil, errors.Trace(err)
	}
	if request.Source, err = plan.Compress(source); err != nil {
		return nil, errors.Trace(err)
	}
	reply, err := d.order(ctx, &apipb.Command{Body: &apipb.Command_SubmitPlan{SubmitPlan: request}})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return reply.Submit, nil
}

// SetEvacuation starts or ends the evacuation of a failure domain.
func (d *Daemon) SetEvacuation(ctx context.Context, failureDomain string, evacuated bool) error {
	_, err := d.order(ctx, &apipb.Command{Body: &apipb.Command_SetEvacuation{
		SetEvacuation: &apipb.SetEvacuation{FailureDomain: failureDomain, Evacuated: evacuated},
	}})
	return errors.Trace(err)
}

func (d *Daemon) order(ctx context.Context, command *apipb.Command) (*apipb.ProposeReply, error) {
	engine, err := d.running()
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	if err := engine.checkVoters(ctx, d.cfg.MinVoters); err != nil {
		return nil, errors.Trace(err)
	}
	return (&commander{engine: engine, forward: d.forward}).run(ctx, command)
}

func (e *Engine) checkVoters(ctx context.Context, least int) error {
	voters := 0
	err := e.do(ctx, func() {
		for _, m := range e.node.Status().Members.GetMembers() {
			if m.Voter {
				voters++
			}
		}
	})
	if err != nil {
		return errors.Annotate(ErrNoLeader, err.Error())
	}
	if voters < least {
		return errors.Annotatef(ErrForming, "%d voters, %d needed", voters, least)
	}
	return nil
}

// PlanSource returns the newest routing plan as its operator sent it, or nil if
// there is none. It fails if this daemon cannot be sure which one is the newest.
func (d *Daemon) PlanSource(ctx context.Context) ([]byte, error) {
	engine, err := d.running()
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	if err := engine.barrier(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	var packed []byte
	if err := engine.do(ctx, func() { packed = engine.store.PlanSource() }); err != nil || packed == nil {
		return nil, errors.Trace(err)
	}
	source, err := plan.Decompress(packed)
	return source, errors.Trace(err)
}
