package consensus

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// Step processes a message from another member. An error means that the message
// was rejected. ErrDiverged also means that an operator has to repair the group.
func (n *Node) Step(m *apipb.ConsensusMessage) error {
	if m.GetTo() != n.cfg.ID || m.GetFrom() == 0 || m.GetFrom() == n.cfg.ID {
		return errors.Annotatef(ErrInvalidMessage, "%v message from %x to %x received by member %x", m.GetType(), m.GetFrom(), m.GetTo(), n.cfg.ID)
	}
	if n.shouldIgnore(m) {
		return nil
	}
	if m.GetTerm() < n.term {
		n.replyToStaleTerm(m)
		return nil
	}
	if m.GetTerm() > n.term && !hasProspectiveTerm(m) {
		n.becomeFollower(m.GetTerm(), 0)
	}
	return n.dispatch(m)
}

// shouldIgnore reports whether a message is dropped because it comes from an unknown
// member or could depose a leader that the group still has.
func (n *Node) shouldIgnore(m *apipb.ConsensusMessage) bool {
	hasLeader := n.role() == RoleLeader || n.hasRecentLeaderContact()
	switch m.GetType() {
	case apipb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return false
	case apipb.MessageType_MESSAGE_TYPE_VOTE:
		// An unknown candidate is not ignored: it may be a new voter whose member
		// change has not reached this member. Requests are ignored in every term,
		// because this member may have entered the candidate's term without voting
		// while the last leader's lease still depends on this member.
		return hasLeader && !m.GetTransfer()
	case apipb.MessageType_MESSAGE_TYPE_APPEND, apipb.MessageType_MESSAGE_TYPE_HEARTBEAT, apipb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return m.GetTerm() > n.term && hasLeader && n.isUnknownMember(m.GetFrom())
	default:
		return n.isUnknownMember(m.GetFrom())
	}
}

// isUnknownMember reports whether id is not in the group. A member without a member
// set accepts messages from any sender, so that it can be added.
func (n *Node) isUnknownMember(id uint64) bool {
	set := n.members.current()
	return len(set.GetMembers()) > 0 && findMember(set, id) == nil
}

// hasProspectiveTerm reports whether m carries the term of a possible election
// instead of its sender's current term, as in a pre-vote.
func hasProspectiveTerm(m *apipb.ConsensusMessage) bool {
	return m.GetType() == apipb.MessageType_MESSAGE_TYPE_PRE_VOTE ||
		(m.GetType() == apipb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY && !m.GetReject())
}

// replyToStaleTerm informs a leader or pre-candidate of an old term of the current term.
func (n *Node) replyToStaleTerm(m *apipb.ConsensusMessage) {
	switch m.GetType() {
	case apipb.MessageType_MESSAGE_TYPE_APPEND, apipb.MessageType_MESSAGE_TYPE_HEARTBEAT, apipb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		n.send(&apipb.ConsensusMessage{Type: apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom(), Reject: true})
	case apipb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		n.send(&apipb.ConsensusMessage{Type: apipb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	}
}

func (n *Node) dispatch(m *apipb.ConsensusMessage) error {
	switch m.GetType() {
	case apipb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		n.handlePreVote(m)
	case apipb.MessageType_MESSAGE_TYPE_VOTE:
		n.handleVote(m)
	case apipb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, apipb.MessageType_MESSAGE_TYPE_VOTE_REPLY:
		n.handleVoteReply(m)
	case apipb.MessageType_MESSAGE_TYPE_APPEND, apipb.MessageType_MESSAGE_TYPE_HEARTBEAT, apipb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return n.handleLeaderMessage(m)
	case apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY, apipb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY,
		apipb.MessageType_MESSAGE_TYPE_SNAPSHOT_REPLY, apipb.MessageType_MESSAGE_TYPE_READ_INDEX:
		if n.role() == RoleLeader {
			return n.dispatchToLeader(m)
		}
	case apipb.MessageType_MESSAGE_TYPE_READ_INDEX_REPLY:
		n.handleReadIndexReply(m)
	case apipb.MessageType_MESSAGE_TYPE_TIMEOUT_NOW:
		n.handleTimeoutNow(m)
	default:
		return errors.Annotatef(ErrInvalidMessage, "unknown message type %v", m.GetType())
	}
	return nil
}

func (n *Node) dispatchToLeader(m *apipb.ConsensusMessage) error {
	if m.GetType() == apipb.MessageType_MESSAGE_TYPE_READ_INDEX {
		n.handleReadIndex(m)
		return nil
	}
	pr := n.progress[m.GetFrom()]
	if pr == nil {
		return nil
	}
	switch m.GetType() {
	case apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY:
		return n.handleAppendReply(pr, m)
	case apipb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY:
		n.handleHeartbeatReply(pr, m)
	case apipb.MessageType_MESSAGE_TYPE_SNAPSHOT_REPLY:
		handleSnapshotReply(pr, m)
	}
	return nil
}
