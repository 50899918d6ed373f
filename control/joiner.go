package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/transport"
)

// joiner finds a cluster for a daemon without one, and keeps the group informed of
// this daemon's address.
type joiner struct {
	self *apipb.Member
	// peerAddresses returns the configured addresses of other control daemons.
	peerAddresses func() []string
	peers         *transport.Peers
	log           logrus.FieldLogger
}

// discover asks the peers until one belongs to a cluster that accepts this daemon,
// and returns the id of the cluster. It never forms a cluster.
func (j *joiner) discover(ctx context.Context) (uint64, error) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		for _, address := range j.peerAddresses() {
			if id, ok := j.join(ctx, address); ok {
				return id, nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, errors.Trace(ctx.Err())
		case <-ticker.C:
		}
	}
}

// announce reports this daemon's address to the group once, after a restart.
func (j *joiner) announce(ctx context.Context) {
	if _, err := j.discover(ctx); err != nil && ctx.Err() == nil {
		j.log.WithError(err).Warn("cannot announce the address of this daemon to the group")
	}
}

// rejoinWhenRemoved joins the group again if this daemon was removed from it while it
// was unreachable: a new daemon may have replaced a voter that was silent.
func (j *joiner) rejoinWhenRemoved(ctx context.Context, engine *Engine) {
	for ctx.Err() == nil {
		sleep(ctx, rejoinInterval)
		var detached bool
		var members []string
		if engine.do(ctx, func() {
			status := engine.node.Status()
			detached = engine.member(j.self.Id) == nil || status.Leader == 0
			for _, m := range status.Members.GetMembers() {
				members = append(members, m.RpcAddress)
			}
		}) != nil || !detached {
			continue
		}
		for _, address := range append(members, j.peerAddresses()...) {
			if address == j.self.RpcAddress {
				continue
			}
			if _, ok := j.join(ctx, address); ok {
				break
			}
		}
	}
}

// join asks the daemon at the address to join its cluster and, if it names the
// leader instead, asks the leader.
func (j *joiner) join(ctx context.Context, address string) (uint64, bool) {
	reply, err := j.requestJoin(ctx, address)
	if err == nil && !reply.Accepted && reply.LeaderAddress != "" {
		reply, err = j.requestJoin(ctx, reply.LeaderAddress)
	}
	if err != nil {
		j.log.WithError(err).WithField("peer", address).Debug("join request failed")
		return 0, false
	}
	if !reply.Accepted {
		j.log.WithField("peer", address).WithField("reason", reply.Reason).Info("join not accepted yet")
		return 0, false
	}
	return reply.ClusterId, true
}

func (j *joiner) requestJoin(ctx context.Context, address string) (*apipb.JoinReply, error) {
	client, err := j.peers.Get(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := apipb.NewDRPCConsensusClient(client).Join(ctx, &apipb.JoinRequest{Member: j.self})
	return reply, errors.Trace(err)
}

// checkUninitialised returns an error if a peer belongs to a cluster or does not
// answer, since an unreachable peer may belong to one.
func (j *joiner) checkUninitialised(ctx context.Context) error {
	for _, address := range j.peerAddresses() {
		if address == j.self.RpcAddress {
			continue
		}
		client, err := j.peers.Get(address)
		if err != nil {
			return errors.Trace(err)
		}
		callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		reply, err := apipb.NewDRPCConsensusClient(client).PeerStatus(callCtx, &apipb.PeerStatusRequest{})
		cancel()
		if err != nil {
			return errors.Annotatef(ErrPeerUnreachable, "peer %s: %v", address, err)
		}
		if reply.ClusterId != 0 && reply.MemberId != j.self.Id {
			return errors.Annotatef(ErrAlreadyInitialised, "peer %s belongs to cluster %x", address, reply.ClusterId)
		}
	}
	return nil
}
