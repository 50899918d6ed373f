package consensus

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// TransferLeadership transfers leadership to a voter, or to the voter with the
// longest matching log if to is 0. The lease ends at once, and proposals are
// rejected until the transfer succeeds or an election timeout has elapsed.
func (n *Node) TransferLeadership(to uint64) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	if to == 0 {
		to = n.bestSuccessor()
	}
	if to == n.cfg.ID || !findMember(n.members.current(), to).GetVoter() {
		return errors.Annotatef(ErrTransferTarget, "member %x", to)
	}
	n.transferee, n.transferStart = to, n.now
	n.maybeSendTimeoutNow()
	return nil
}

// bestSuccessor returns the other voter with the longest matching log, or 0 if
// there is none.
func (n *Node) bestSuccessor() uint64 {
	best, match := uint64(0), uint64(0)
	n.forEachPeer(func(id uint64, pr *progress) {
		if findMember(n.members.current(), id).GetVoter() && (best == 0 || pr.match > match) {
			best, match = id, pr.match
		}
	})
	return best
}

// maybeSendTimeoutNow tells the transferee to start an election once it has the
// whole log.
func (n *Node) maybeSendTimeoutNow() {
	if n.transferee == 0 || n.timeoutNowSent || n.matchIndexOf(n.transferee) < n.log.lastIndex() {
		return
	}
	n.timeoutNowSent = true
	n.sendTimeoutNow(n.transferee)
}

func (n *Node) sendTimeoutNow(to uint64) {
	n.send(&apipb.ConsensusMessage{Type: apipb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW, To: to})
}

// tickTransfer aborts a transfer after an election timeout. If TIMEOUT_NOW was sent,
// the leader can hold no lease in this term any more, because a delayed copy of the
// message starts an election in spite of the lease. The leader therefore starts an
// election in a new term, in which a delayed copy has no effect.
func (n *Node) tickTransfer() {
	if n.transferee == 0 || n.now-n.transferStart < uint64(n.cfg.ElectionTicks) {
		return
	}
	n.transferee = 0
	if n.timeoutNowSent {
		n.startElection(triggerTransferOrdered, true)
	}
}

// resign steps down and tells the best successor to start an election at once.
func (n *Node) resign() {
	if to := n.bestSuccessor(); to != 0 {
		n.sendTimeoutNow(to)
	}
	n.becomeFollower(n.term, 0)
}

func (n *Node) handleTimeoutNow(m *apipb.ConsensusMessage) {
	if n.role() == RoleFollower && n.leader == m.GetFrom() {
		n.startElection(triggerTransferOrdered, true)
	}
}
