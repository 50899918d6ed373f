package consensus

import "pistachiomount.example/pistachiomount/apipb"

// heartbeatRounds records the tick at which each recent heartbeat round was sent.
type heartbeatRounds struct {
	firstRound uint64   // number of the oldest recorded round
	sentTicks  []uint64 // tick of each round, starting with firstRound
}

// lastRound returns the number of the newest round, or 0 before the first.
func (r *heartbeatRounds) lastRound() uint64 {
	if len(r.sentTicks) == 0 {
		return 0
	}
	return r.firstRound + uint64(len(r.sentTicks)) - 1
}

func (r *heartbeatRounds) add(now, oldestTick uint64) uint64 {
	if len(r.sentTicks) == 0 {
		r.firstRound = 1
	}
	for len(r.sentTicks) > 1 && r.sentTicks[0] < oldestTick {
		r.sentTicks = r.sentTicks[1:]
		r.firstRound++
	}
	r.sentTicks = append(r.sentTicks, now)
	return r.lastRound()
}

// sentTick returns the tick at which a round was sent; ok is false if the round
// is unknown or no longer recorded.
func (r *heartbeatRounds) sentTick(round uint64) (tick uint64, ok bool) {
	if round < r.firstRound || round > r.lastRound() {
		return 0, false
	}
	return r.sentTicks[round-r.firstRound], true
}

// startHeartbeatRound sends a heartbeat to every member. The replies extend the
// lease and confirm the reads received before the round.
func (n *Node) startHeartbeatRound() {
	round := n.rounds.add(n.now, n.now-uint64(n.cfg.ElectionTicks))
	n.assignReadsToRound(round)
	n.forEachPeer(func(id uint64, pr *progress) {
		n.send(&apipb.ConsensusMessage{
			Type: apipb.MessageType_MESSAGE_TYPE_HEARTBEAT, To: id,
			Context: round, Commit: min(pr.match, n.log.committed),
		})
	})
	n.answerConfirmedReads()
}

func (n *Node) handleHeartbeatReply(pr *progress, m *apipb.ConsensusMessage) {
	round := m.GetContext()
	if tick, ok := n.rounds.sentTick(round); ok && round > pr.ackedRound {
		pr.ackedRound, pr.ackedTick = round, tick
		n.answerConfirmedReads()
	}
	pr.detectLoss(round, n.now, &n.cfg)
}

// quorumAckTick returns the latest tick such that a quorum acknowledged a round
// sent at that tick or later, or 0 if there is none.
func (n *Node) quorumAckTick() uint64 {
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

// quorumActive implements check-quorum: a leader steps down if it reached no
// quorum for an election timeout.
func (n *Node) quorumActive() bool {
	return n.now-max(n.quorumAckTick(), n.leaderSince) < uint64(n.cfg.ElectionTicks)
}

// leaseTicksLeft returns the remaining ticks of the lease. A leader has no lease
// during a leadership transfer.
func (n *Node) leaseTicksLeft() uint64 {
	if n.role() != RoleLeader || n.transferee != 0 {
		return 0
	}
	age, lease := n.now-n.quorumAckTick(), n.cfg.leaseTicks()
	if age >= lease {
		return 0
	}
	return lease - age
}
