package control

import (
	"context"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// consensusService serves other control daemons. It has no engine before the daemon
// belongs to a cluster.
type consensusService struct {
	daemon *Daemon
}

// Deliver passes received consensus messages to the engine.
func (s *consensusService) Deliver(ctx context.Context, batch *apipb.MessageBatch) (*apipb.DeliverReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	if batch.ClusterId != engine.cfg.ClusterID {
		return nil, errors.Trace(ErrClusterMismatch)
	}
	return &apipb.DeliverReply{}, engine.Step(ctx, batch.Sender, batch.Messages)
}

// PeerStatus returns the cluster that this daemon belongs to and its consensus state.
func (s *consensusService) PeerStatus(ctx context.Context, _ *apipb.PeerStatusRequest) (*apipb.PeerStatusReply, error) {
	reply := &apipb.PeerStatusReply{MemberId: s.daemon.memberID, ClusterId: s.daemon.clusterID()}
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return reply, nil
	}
	return reply, engine.do(ctx, func() {
		status := engine.node.Status()
		reply.LeaderId, reply.Term, reply.Commit = status.Leader, status.Term, status.Commit
		reply.Members = status.Members.GetMembers()
	})
}

// Join adds a daemon to the group.
func (s *consensusService) Join(ctx context.Context, request *apipb.JoinRequest) (*apipb.JoinReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	if request.Member.GetId() == 0 || request.Member.GetName() == "" {
		return &apipb.JoinReply{Reason: "the member needs an id and a name"}, nil
	}
	return engine.Join(ctx, request.Member)
}

// Propose commits a command that a daemon without leadership forwarded.
func (s *consensusService) Propose(ctx context.Context, request *apipb.ProposeRequest) (*apipb.ProposeReply, error) {
	engine, err := s.daemon.currentEngine()
	if err != nil {
		return nil, err
	}
	return (&proposer{engine: engine, dialForwarding: s.daemon.dialForwarding}).proposeForwarded(ctx, request)
}
