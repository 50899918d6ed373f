package consensus

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// Step takes in a message from another member. An error means that the message
// was refused; ErrDiverged also means that the group needs an operator.
func (n *Node) Step(m *apipb.ConsensusMessage) error {
	if m.GetTo() != n.cfg.ID || m.GetFrom() == 0 || m.GetFrom() == n.cfg.ID {
		return errors.Annotatef(ErrInvalidMessage, "%v from %x to %x at member %x", m.GetType(), m.GetFrom(), m.GetTo(), n.cfg.ID)
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

// shouldIgnore drops messages that must not disturb a group that has a leader.
func (n *Node) shouldIgnore(m *apipb.ConsensusMessage) bool {
	hasLeader := n.role() == RoleLeader || n.hasRecentLeaderContact()
	switch m.GetType() {
	case apipb.MessageType_MESSAGE_TYPE_PRE_VOTE:
		return false
	case apipb.MessageType_MESSAGE_TYPE_VOTE:
		// Votes are not refused for an unknown id as such: the candidate may be
		// a new voter whose change has not reached this member. The rule holds in
		// every term, as this member may have moved to the candidate's term without
		// a vote while the lease of the leader it heard still rests on it.
		return hasLeader && !m.GetTransfer()
	case apipb.MessageType_MESSAGE_TYPE_APPEND, apipb.MessageType_MESSAGE_TYPE_HEARTBEAT, apipb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return m.GetTerm() > n.term && hasLeader && n.isUnknownMember(m.GetFrom())
	default:
		return n.isUnknownMember(m.GetFrom())
	}
}

// isUnknownMember reports whether id is not in the group. A member that has no member
// set yet knows nobody and trusts whoever adds it.
func (n *Node) isUnknownMember(id uint64) bool {
	set := n.members.current()
	return len(set.GetMembers()) > 0 && findMember(set, id) == nil
}

// hasProspectiveTerm reports whether the term of m is one that its sender would
// like to begin rather than one it is in.
func hasProspectiveTerm(m *apipb.ConsensusMessage) bool {
	return m.GetType() == apipb.MessageType_MESSAGE_TYPE_PRE_VOTE ||
		(m.GetType() == apipb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY && !m.GetReject())
}

// replyToStaleTerm makes a leader or pre-candidate of an old term learn the new one.
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
		return errors.Annotatef(ErrInvalidMessage, "unknown type %v", m.GetType())
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
