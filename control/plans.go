package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/plan"
)

// operatorCommandTimeout bounds one command of an operator. The caller tries another
// daemon after 1 s, and a resend returns the first result.
const operatorCommandTimeout = 950 * time.Millisecond

// SubmitPlan puts a routing plan in force if it is based on the plan in force. The
// source is the text that the operator sent, which PlanSource returns.
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
	reply, err := d.proposeOperatorCommand(ctx, &apipb.Command{Body: &apipb.Command_SubmitPlan{SubmitPlan: request}})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return reply.Submit, nil
}

// SetEvacuation starts or ends the evacuation of a failure domain.
func (d *Daemon) SetEvacuation(ctx context.Context, failureDomain string, evacuated bool) error {
	_, err := d.proposeOperatorCommand(ctx, &apipb.Command{Body: &apipb.Command_SetEvacuation{
		SetEvacuation: &apipb.SetEvacuation{FailureDomain: failureDomain, Evacuated: evacuated},
	}})
	return errors.Trace(err)
}

func (d *Daemon) proposeOperatorCommand(ctx context.Context, command *apipb.Command) (*apipb.ProposeReply, error) {
	engine, err := d.currentEngine()
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCommandTimeout)
	defer cancel()
	if err := engine.checkVoters(ctx, d.cfg.MinVoters); err != nil {
		return nil, errors.Trace(err)
	}
	return (&proposer{engine: engine, dialForwarding: d.dialForwarding}).propose(ctx, command)
}

func (e *Engine) checkVoters(ctx context.Context, minVoters int) error {
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
	if voters < minVoters {
		return errors.Annotatef(ErrTooFewVoters, "%d voters, %d required", voters, minVoters)
	}
	return nil
}
