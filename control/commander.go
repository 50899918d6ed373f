package control

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/store"
	"pistachiomount.example/pistachiomount/transport"
)

// forwarder returns the client for commands of the control daemon at an address.
type forwarder func(address string) (apipb.DRPCForwardingClient, error)

func forwardOver(peers *transport.Peers) forwarder {
	return func(address string) (apipb.DRPCForwardingClient, error) {
		client, err := peers.Get(address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return apipb.NewDRPCForwardingClient(client), nil
	}
}

// commander commits commands through whichever daemon leads.
type commander struct {
	engine  *Engine
	forward forwarder
}

// run commits the command here or, if another daemon leads, there.
func (c *commander) run(ctx context.Context, command *apipb.Command) (*apipb.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.engine.Propose(ctx, command)
	if err == nil {
		return replyOf(result), nil
	}
	if !notLeader(err) {
		return nil, errors.Trace(err)
	}
	return c.passOn(ctx, command)
}

// passOn commits the command through the leader.
func (c *commander) passOn(ctx context.Context, command *apipb.Command) (*apipb.ProposeReply, error) {
	leader := ""
	if err := c.engine.do(ctx, func() { leader = c.engine.leaderAddress() }); err != nil {
		return nil, errors.Annotate(ErrNoLeader, err.Error())
	}
	if leader == "" || leader == c.engine.cfg.Self.RpcAddress {
		return nil, errors.Trace(ErrNoLeader)
	}
	client, err := c.forward(leader)
	if err != nil {
		return nil, errors.Annotate(ErrNoLeader, err.Error())
	}
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, errors.Annotate(err, "encode command")
	}
	reply, err := client.Propose(ctx, &apipb.ProposeRequest{Command: data})
	if err != nil {
		return nil, errors.Annotate(ErrOutcomeUnknown, err.Error())
	}
	if reply.NotLeader {
		return nil, errors.Trace(ErrNoLeader)
	}
	return reply, nil
}

// runForwarded commits a command that another daemon passed on. It is not passed
// on again, so that commands cannot circle during an election.
func (c *commander) runForwarded(ctx context.Context, request *apipb.ProposeRequest) (*apipb.ProposeReply, error) {
	command := &apipb.Command{}
	if err := proto.Unmarshal(request.Command, command); err != nil {
		return nil, errors.Annotate(err, "decode command")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.engine.Propose(ctx, command)
	if err != nil && notLeader(err) {
		return &apipb.ProposeReply{NotLeader: true}, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return replyOf(result), nil
}

func replyOf(result store.Result) *apipb.ProposeReply {
	return &apipb.ProposeReply{
		Submit: result.Submit, Claim: result.Claim, Complete: result.Complete,
		Enqueue: result.Enqueue, StartJob: result.StartJob, FinishJob: result.FinishJob,
		Evacuation: result.Evacuation, Holder: result.Holder,
	}
}
