package control

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/store"
	"pistachiomount.example/pistachiomount/transport"
)

// forwardingDialer returns a client of the forwarding service at an address.
type forwardingDialer func(address string) (apipb.DRPCForwardingClient, error)

func newForwardingDialer(peers *transport.Peers) forwardingDialer {
	return func(address string) (apipb.DRPCForwardingClient, error) {
		client, err := peers.Get(address)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return apipb.NewDRPCForwardingClient(client), nil
	}
}

// proposer commits commands through the leader, whether this daemon or another.
type proposer struct {
	engine         *Engine
	dialForwarding forwardingDialer
}

// propose commits the command on this daemon if it leads, and otherwise on the leader.
func (c *proposer) propose(ctx context.Context, command *apipb.Command) (*apipb.ProposeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.engine.Propose(ctx, command)
	if err == nil {
		return proposeReply(result), nil
	}
	if !isNotLeader(err) {
		return nil, errors.Trace(err)
	}
	return c.forwardToLeader(ctx, command)
}

// forwardToLeader commits the command on the leader.
func (c *proposer) forwardToLeader(ctx context.Context, command *apipb.Command) (*apipb.ProposeReply, error) {
	leader := ""
	if err := c.engine.do(ctx, func() { leader = c.engine.leaderAddress() }); err != nil {
		return nil, errors.Annotate(ErrNoLeader, err.Error())
	}
	if leader == "" || leader == c.engine.cfg.Self.RpcAddress {
		return nil, errors.Trace(ErrNoLeader)
	}
	client, err := c.dialForwarding(leader)
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

// proposeForwarded commits a command that another daemon forwarded. It never forwards
// it again, so that commands cannot loop between daemons during an election.
func (c *proposer) proposeForwarded(ctx context.Context, request *apipb.ProposeRequest) (*apipb.ProposeReply, error) {
	command := &apipb.Command{}
	if err := proto.Unmarshal(request.Command, command); err != nil {
		return nil, errors.Annotate(err, "decode command")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := c.engine.Propose(ctx, command)
	if err != nil && isNotLeader(err) {
		return &apipb.ProposeReply{NotLeader: true}, nil
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	return proposeReply(result), nil
}

func proposeReply(result store.Result) *apipb.ProposeReply {
	return &apipb.ProposeReply{
		Submit: result.Submit, Claim: result.Claim, Complete: result.Complete,
		Enqueue: result.Enqueue, StartJob: result.StartJob, FinishJob: result.FinishJob,
		Evacuation: result.Evacuation, Holder: result.Holder,
	}
}
