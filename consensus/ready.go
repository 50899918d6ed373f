package consensus

import "pistachiomount.example/pistachiomount/apipb"

// Ready is the work a Node hands to its driver: persist Snapshot, HardState and
// Entries durably, then send Messages, then apply Snapshot and Committed and
// answer ReadStates, then call Advance. Everything in it is read-only.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *apipb.HardState
	// Snapshot came from the leader and replaces the state machine and the log
	// before it. It is nil otherwise.
	Snapshot *apipb.Snapshot
	// Entries are to be appended; an entry with an index that is already in the
	// log replaces it and everything after it.
	Entries    []*apipb.LogEntry
	Messages   []*apipb.ConsensusMessage
	Committed  []*apipb.LogEntry
	ReadStates []ReadState
}

// ReadState confirms a read: it may be served once the entry Index is applied.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

func (r *Ready) empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.ReadStates) == 0
}

// Ready returns pending work. Proposals made since the last call are sent in
// common appends, so a driver that takes in many inputs between calls batches.
func (n *Node) Ready() (Ready, bool) {
	n.flushReads()
	n.flushAppends()
	rd := Ready{
		Snapshot:   n.pendingSnapshot,
		Entries:    n.log.unstable(),
		Messages:   n.messages,
		Committed:  n.log.unapplied(),
		ReadStates: n.readStates,
	}
	if hs := n.hardState(); !sameHardState(hs, n.persistedHardState) {
		rd.HardState = hs
	}
	return rd, !rd.empty()
}

// Advance tells that the work of rd is done.
func (n *Node) Advance(rd Ready) {
	if rd.HardState != nil {
		n.persistedHardState = rd.HardState
	}
	if rd.Snapshot == n.pendingSnapshot {
		n.pendingSnapshot = nil
	}
	if k := len(rd.Entries); k > 0 {
		n.log.markStable(rd.Entries[k-1].GetIndex(), rd.Entries[k-1].GetTerm())
	}
	if k := len(rd.Committed); k > 0 {
		n.log.applied = max(n.log.applied, rd.Committed[k-1].GetIndex())
	}
	n.messages = n.messages[len(rd.Messages):]
	if len(n.messages) == 0 {
		n.messages = nil
	}
	n.readStates = n.readStates[len(rd.ReadStates):]
	if n.role() == RoleLeader {
		n.maybeCommit()
	}
}

func (n *Node) hardState() *apipb.HardState {
	if s := n.persistedHardState; s.GetTerm() == n.term && s.GetVotedFor() == n.votedFor && s.GetCommit() == n.log.committed {
		return s
	}
	return &apipb.HardState{Term: n.term, VotedFor: n.votedFor, Commit: n.log.committed}
}

func sameHardState(a, b *apipb.HardState) bool {
	return a.GetTerm() == b.GetTerm() && a.GetVotedFor() == b.GetVotedFor() && a.GetCommit() == b.GetCommit()
}
