package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/consensus"
	"pistachiomount.example/pistachiomount/store"
)

// Propose commits a command if this daemon leads and returns the result of the state
// machine. Once the command may be in the log, errors match ErrOutcomeUnknown.
func (e *Engine) Propose(ctx context.Context, command *apipb.Command) (store.Result, error) {
	command.RequestId = rand.Uint64() | 1 // 0 marks results without a proposer
	command.TimeMs = time.Duration(e.cfg.Clock.Now().Wall).Milliseconds()
	data, err := proto.Marshal(command)
	if err != nil {
		return store.Result{}, errors.Annotate(err, "encode command")
	}
	waiter := make(chan store.Result, 1)
	var proposeErr error
	if err := e.do(ctx, func() { proposeErr = e.proposeOnLoop(command.RequestId, data, waiter) }); err != nil {
		return store.Result{}, errors.Annotate(ErrOutcomeUnknown, err.Error())
	}
	if proposeErr != nil {
		return store.Result{}, errors.Trace(proposeErr)
	}
	return e.awaitResult(ctx, command.RequestId, waiter)
}

func (e *Engine) proposeOnLoop(requestID uint64, data []byte, waiter chan store.Result) error {
	if err := e.node.Propose(data); err != nil {
		return err
	}
	e.pending[requestID] = waiter
	return nil
}

func (e *Engine) awaitResult(ctx context.Context, requestID uint64, waiter chan store.Result) (store.Result, error) {
	select {
	case result := <-waiter:
		return result, nil
	case <-e.done:
	case <-ctx.Done():
		e.dropWaiter(requestID)
	}
	return store.Result{}, errors.Trace(ErrOutcomeUnknown)
}

// dropWaiter removes a waiter without waiting for the loop, which may be blocked by
// the same slow disk that made the command time out.
func (e *Engine) dropWaiter(requestID uint64) {
	select {
	case e.inbox <- func() { delete(e.pending, requestID) }:
	case <-e.done:
	}
}

// leaderAddress returns the RPC address of the leader, or "" if none is known.
func (e *Engine) leaderAddress() string {
	if member := e.member(e.node.Status().Leader); member != nil {
		return member.RpcAddress
	}
	return ""
}

// isNotLeader reports whether the error means that this daemon does not lead, so that
// the command was certainly not proposed.
func isNotLeader(err error) bool {
	return errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrTransferInProgress)
}
