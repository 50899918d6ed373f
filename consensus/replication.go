package consensus

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// Propose appends a command to the leader's log. The command is committed when
// Ready returns it in Committed; until then a change of leader may discard it.
func (n *Node) Propose(data []byte) error {
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	if len(data) > n.cfg.maxEntryBytes() {
		return errors.Annotatef(ErrProposalTooLarge, "%d bytes, the limit is %d", len(data), n.cfg.maxEntryBytes())
	}
	if n.uncommittedBytes > 0 && n.uncommittedBytes+len(data)+entryOverheadBytes > n.cfg.MaxUncommittedBytes {
		return errors.Annotatef(ErrBusy, "%d bytes of entries are not committed yet", n.uncommittedBytes)
	}
	n.appendEntry(apipb.EntryType_ENTRY_TYPE_COMMAND, data)
	return nil
}

func (n *Node) checkCanPropose() error {
	if n.role() != RoleLeader {
		return &NotLeaderError{Leader: n.leader}
	}
	if n.transferee != 0 {
		return errors.Trace(ErrTransferInProgress)
	}
	return nil
}

func (n *Node) appendEntry(t apipb.EntryType, data []byte) {
	e := &apipb.LogEntry{Index: n.log.lastIndex() + 1, Term: n.term, Type: t, Data: data}
	n.uncommittedBytes += entrySize(e)
	n.appendToLog(e)
}

// forEachPeer calls visit for the other members in ascending order of their ids.
func (n *Node) forEachPeer(visit func(id uint64, pr *progress)) {
	for _, m := range n.members.current().GetMembers() {
		if pr := n.progress[m.GetId()]; pr != nil {
			visit(m.GetId(), pr)
		}
	}
}

// syncProgress adds and removes progress records so that the leader replicates to
// exactly the current members.
func (n *Node) syncProgress() {
	set := n.members.current()
	for id := range n.progress {
		if findMember(set, id) == nil {
			delete(n.progress, id)
		}
	}
	for _, m := range set.GetMembers() {
		if id := m.GetId(); id != n.cfg.ID && n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.lastIndex() + 1}
		}
	}
}

// flushAppends sends pending appends and snapshot chunks to every member.
func (n *Node) flushAppends() {
	if n.role() != RoleLeader {
		return
	}
	n.forEachPeer(func(id uint64, pr *progress) {
		for n.sendNext(id, pr) {
		}
	})
}

// sendNext sends at most one message to a member and reports whether more may be due.
func (n *Node) sendNext(id uint64, pr *progress) bool {
	if pr.state != progressSnapshot && pr.next <= n.log.baseIndex() {
		pr.becomeSnapshot(n.latestSnapshot)
	}
	switch pr.state {
	case progressSnapshot:
		n.sendSnapshotChunk(id, pr)
		return false
	case progressProbe:
		if len(pr.inflight) == 0 {
			n.sendAppend(id, pr)
		}
		return false
	default:
		if pr.next > n.log.lastIndex() || len(pr.inflight) >= n.cfg.MaxInflight {
			return false
		}
		pr.next += n.sendAppend(id, pr)
		return true
	}
}

// sendAppend sends one append and returns the number of its entries. A probe may
// have none.
func (n *Node) sendAppend(id uint64, pr *progress) uint64 {
	prev := pr.next - 1
	prevTerm, _ := n.log.term(prev)
	entries := n.log.entriesAfter(prev, n.cfg.MaxAppendBytes-messageOverheadBytes)
	n.send(&apipb.ConsensusMessage{
		Type: apipb.MessageType_MESSAGE_TYPE_APPEND, To: id,
		Index: prev, LogTerm: prevTerm, Entries: entries, Commit: n.log.committed,
	})
	count := uint64(len(entries))
	pr.inflight = append(pr.inflight, inflightAppend{
		last: prev + count, round: n.rounds.lastRound(), sentAt: n.now, bytes: entriesSize(entries),
	})
	return count
}

func (n *Node) handleAppendReply(pr *progress, m *apipb.ConsensusMessage) error {
	if m.GetReject() {
		hint, _ := n.log.conflictHint(m.GetRejectHint(), m.GetLogTerm())
		pr.recordRejection(m.GetIndex(), hint+1)
		return nil
	}
	if m.GetIndex() > n.log.lastIndex() {
		return errors.Annotatef(ErrInvalidMessage, "member %x acknowledges entry %d, but the last entry is %d", m.GetFrom(), m.GetIndex(), n.log.lastIndex())
	}
	if m.GetIndex() < pr.match {
		return nil
	}
	pr.recordAck(m.GetIndex(), n.now)
	n.maybeCommit()
	n.maybeSendTimeoutNow()
	return nil
}

// maybeCommit advances the commit index to the last entry that a quorum holds.
// Only entries of the leader's own term are committed by counting replicas;
// earlier entries are committed with them.
func (n *Node) maybeCommit() {
	index := quorumValue(n.members.current(), n.matchIndexOf)
	if t, ok := n.log.term(index); index <= n.log.committed || !ok || t != n.term {
		return
	}
	for _, e := range n.log.entries[n.log.committed-n.log.baseIndex()+1 : index-n.log.baseIndex()+1] {
		n.uncommittedBytes = max(n.uncommittedBytes-entrySize(e), 0)
	}
	n.log.commitTo(index)
	n.finishCommittedChange()
}

func (n *Node) matchIndexOf(id uint64) uint64 {
	if id == n.cfg.ID {
		return n.log.stable
	}
	if pr := n.progress[id]; pr != nil {
		return pr.match
	}
	return 0
}

// termCommitted reports whether the leader has committed an entry of its term.
// From then on its commit index covers everything that earlier leaders committed.
func (n *Node) termCommitted() bool { return n.log.committed >= n.termStart }

// finishCommittedChange leaves the joint configuration once the entry of a
// replacement is committed, and resigns if the leader is not a voter in the
// committed member set.
func (n *Node) finishCommittedChange() {
	last := n.members.last()
	if last.index > n.log.committed || !n.termCommitted() {
		return
	}
	if isJoint(last.set) {
		// Encoding a message with only a type cannot fail.
		_ = n.appendChange(&apipb.MemberChange{Type: apipb.MemberChangeType_MEMBER_CHANGE_TYPE_LEAVE_JOINT})
		return
	}
	if !isVoter(last.set, n.cfg.ID) {
		n.resign()
	}
}
