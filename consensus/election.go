package consensus

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// hasRecentLeaderContact reports whether this member heard from a leader within the
// last election timeout. The leader's lease may then depend on this member.
func (n *Node) hasRecentLeaderContact() bool {
	return n.now-n.lastLeaderContact < uint64(n.cfg.ElectionTicks)
}

// CampaignNow starts an election without waiting for the election timeout. It has
// no effect on a leader, on a member that is not a voter, or on one that heard
// from a leader recently.
func (n *Node) CampaignNow() {
	if n.role() != RoleLeader {
		n.campaign()
	}
}

// campaign starts a pre-vote, which leaves the term unchanged, so that a member
// that returns from a partition does not depose the leader.
func (n *Node) campaign() {
	set := n.members.current()
	if !isVoter(set, n.cfg.ID) || (n.hasRecentLeaderContact() && !isSoleVoter(set, n.cfg.ID)) {
		return
	}
	n.roles.fire(triggerElectionTimeout)
	n.leader = 0
	n.requestVotes(apipb.MessageType_MESSAGE_TYPE_PRE_VOTE, n.term+1, false)
	n.countVotes()
}

// startElection increments the term and requests votes. In a leadership transfer
// the leader itself has requested the election and relinquished its lease, so members
// grant their votes in spite of recent leader contact.
func (n *Node) startElection(trigger roleTrigger, transfer bool) {
	n.roles.fire(trigger)
	n.enterTerm(n.term+1, 0)
	n.votedFor = n.cfg.ID
	n.resetElectionTimer()
	n.requestVotes(apipb.MessageType_MESSAGE_TYPE_VOTE, n.term, transfer)
	n.countVotes()
}

func (n *Node) requestVotes(t apipb.MessageType, term uint64, transfer bool) {
	n.votes = map[uint64]bool{n.cfg.ID: true}
	for _, m := range n.members.current().GetMembers() {
		if m.GetId() != n.cfg.ID && isVoter(n.members.current(), m.GetId()) {
			n.send(&apipb.ConsensusMessage{
				Type: t, To: m.GetId(), Term: term,
				Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Transfer: transfer,
			})
		}
	}
}

func (n *Node) handlePreVote(m *apipb.ConsensusMessage) {
	hasLeader := n.role() == RoleLeader || n.hasRecentLeaderContact()
	grant := !hasLeader && m.GetTerm() > n.term && n.log.isUpToDate(m.GetIndex(), m.GetLogTerm())
	reply := &apipb.ConsensusMessage{
		Type: apipb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant,
	}
	if grant {
		reply.Term = m.GetTerm()
	}
	n.send(reply)
}

func (n *Node) handleVote(m *apipb.ConsensusMessage) {
	canVote := n.votedFor == m.GetFrom() || (n.votedFor == 0 && n.leader == 0)
	grant := canVote && n.log.isUpToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		n.votedFor = m.GetFrom()
		n.resetElectionTimer()
	}
	n.send(&apipb.ConsensusMessage{Type: apipb.MessageType_MESSAGE_TYPE_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (n *Node) handleVoteReply(m *apipb.ConsensusMessage) {
	pre := m.GetType() == apipb.MessageType_MESSAGE_TYPE_PRE_VOTE_REPLY
	switch {
	case pre && (n.role() != RolePreCandidate || (!m.GetReject() && m.GetTerm() != n.term+1)):
		return
	case !pre && n.role() != RoleCandidate:
		return
	}
	if _, answered := n.votes[m.GetFrom()]; !answered {
		n.votes[m.GetFrom()] = !m.GetReject()
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	won, lost := voteOutcome(n.members.current(), n.votes)
	switch {
	case won && n.role() == RolePreCandidate:
		n.startElection(triggerPreVoteWon, false)
	case won:
		n.becomeLeader()
	case lost:
		n.becomeFollower(n.term, 0)
	}
}

func (n *Node) becomeLeader() {
	n.roles.fire(triggerVoteWon)
	n.leader = n.cfg.ID
	n.leaderState = leaderState{
		progress: map[uint64]*progress{}, leaderSince: n.now, termStart: n.log.lastIndex() + 1,
		commitAtHeartbeat: n.log.committed, lastHeartbeat: n.now,
	}
	n.syncProgress()
	n.appendEntry(apipb.EntryType_ENTRY_TYPE_NOOP, nil)
	n.startHeartbeatRound()
}

func (n *Node) becomeFollower(term, leader uint64) {
	n.roles.fire(triggerStepDown)
	n.updateRole()
	n.enterTerm(term, leader)
	n.resetElectionTimer()
}

// enterTerm sets the term and its leader and discards the state of a leadership or
// candidacy.
func (n *Node) enterTerm(term, leader uint64) {
	if term != n.term {
		n.term, n.votedFor = term, 0
	}
	n.leader = leader
	n.leaderState = leaderState{}
	n.votes = nil
	n.dropLeaderReads()
}

// handleLeaderMessage processes a message from the leader of the current term.
func (n *Node) handleLeaderMessage(m *apipb.ConsensusMessage) error {
	if n.role() == RoleLeader {
		return errors.Annotatef(ErrDiverged, "member %x claims to lead term %d, which this member leads", m.GetFrom(), n.term)
	}
	if n.role() == RolePreCandidate || n.role() == RoleCandidate {
		n.becomeFollower(n.term, m.GetFrom())
	}
	n.leader = m.GetFrom()
	n.lastLeaderContact = n.now
	n.resetElectionTimer()
	switch m.GetType() {
	case apipb.MessageType_MESSAGE_TYPE_APPEND:
		return n.handleAppend(m)
	case apipb.MessageType_MESSAGE_TYPE_HEARTBEAT:
		n.log.commitTo(m.GetCommit())
		n.send(&apipb.ConsensusMessage{
			Type: apipb.MessageType_MESSAGE_TYPE_HEARTBEAT_REPLY, To: m.GetFrom(), Context: m.GetContext(),
		})
		return nil
	default:
		return n.handleSnapshot(m)
	}
}

// handleAppend appends the leader's entries if the preceding entry matches.
func (n *Node) handleAppend(m *apipb.ConsensusMessage) error {
	reply := &apipb.ConsensusMessage{Type: apipb.MessageType_MESSAGE_TYPE_APPEND_REPLY, To: m.GetFrom()}
	switch {
	case m.GetIndex() < n.log.committed:
		reply.Index = n.log.committed
	case !n.log.matches(m.GetIndex(), m.GetLogTerm()):
		reply.Index, reply.Reject = m.GetIndex(), true
		reply.RejectHint, reply.LogTerm = n.log.conflictHint(m.GetIndex(), m.GetLogTerm())
	default:
		if err := n.appendFromLeader(m); err != nil {
			return err
		}
		reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
		n.log.commitTo(min(m.GetCommit(), reply.Index))
	}
	n.send(reply)
	return nil
}

func (n *Node) appendFromLeader(m *apipb.ConsensusMessage) error {
	entries := m.GetEntries()
	for i, e := range entries {
		if e.GetIndex() != m.GetIndex()+1+uint64(i) {
			return errors.Annotatef(ErrInvalidMessage, "append message has entry %d after entry %d", e.GetIndex(), m.GetIndex()+uint64(i))
		}
	}
	for len(entries) > 0 && n.log.matches(entries[0].GetIndex(), entries[0].GetTerm()) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0].GetIndex(); first <= n.log.lastIndex() {
		if first <= n.log.committed {
			return errors.Annotatef(ErrDiverged, "append would replace committed entry %d", first)
		}
		n.log.truncate(first)
		n.members.truncate(first)
		n.onMembersChanged()
	}
	n.appendToLog(entries...)
	return nil
}
