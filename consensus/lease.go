package consensus

import "pistachiomount.example/pistachiomount/apipb"

// heartbeatRounds remembers at which tick recent rounds were sent.
type heartbeatRounds struct {
	first uint64   // number of the oldest remembered round
	sent  []uint64 // tick of each round from first on
}

// last returns the number of the newest round, or 0 before the first.
func (r *heartbeatRounds) last() uint64 {
	if len(r.sent) == 0 {
		return 0
	}
	return r.first + uint64(len(r.sent)) - 1
}

func (r *heartbeatRounds) start(now, forgetBefore uint64) uint64 {
	if len(r.sent) == 0 {
		r.first = 1
	}
	for len(r.sent) > 1 && r.sent[0] < forgetBefore {
		r.sent = r.sent[1:]
		r.first++
	}
	r.sent = append(r.sent, now)
	return r.last()
}

// tick returns when a round was sent; ok is false for one long ago.
func (r *heartbeatRounds) tick(round uint64) (tick uint64, ok bool) {
	if round < r.first || round > r.last() {
		return 0, false
	}
	return r.sent[round-r.first], true
}

// startRound sends a heartbeat to every member. Their answers extend the lease
// and confirm the reads that were taken in before.
func (n *Node) startRound() {
	round := n.rounds.start(n.now, n.now-uint64(n.cfg.ElectionTicks))
	n.assignReads(round)
	n.eachPeer(func(id uint64, pr *progress) {
		n.send(&apipb.ConsensusMessage{
			Type: apipb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: id,
			Context: round, Commit: min(pr.match, n.log.committed),
		})
	})
	n.releaseReads()
}

func (n *Node) handleHeartbeatReply(pr *progress, m *apipb.ConsensusMessage) {
	round := m.GetContext()
	if tick, ok := n.rounds.tick(round); ok && round > pr.ackedRound {
		pr.ackedRound, pr.ackedTick = round, tick
		n.releaseReads()
	}
	pr.detectLoss(round)
}

// quorumTick returns the latest tick such that a quorum answered a round that was
// sent then or later; 0 when there is none.
func (n *Node) quorumTick() uint64 {
	return quorumValue(n.members.current(), func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.now
		}
		if pr := n.progress[id]; pr != nil {
			return pr.ackedTick
		}
		return 0
	})
}

// quorumActive is the check-quorum rule: a leader that reached no quorum for an
// election timeout steps down.
func (n *Node) quorumActive() bool {
	return n.now-max(n.quorumTick(), n.leaderSince) < uint64(n.cfg.ElectionTicks)
}

// leaseTicksLeft returns how much of the lease remains. A leader that began a
// transfer has none.
func (n *Node) leaseTicksLeft() uint64 {
	if n.role() != RoleLeader || n.transferee != 0 {
		return 0
	}
	age, lease := n.now-n.quorumTick(), n.cfg.leaseTicks()
	if age >= lease {
		return 0
	}
	return lease - age
}
