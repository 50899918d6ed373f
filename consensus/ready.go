package consensus

import "pistachiomount.example/pistachiomount/apipb"

// Ready is the pending work of a Node. The driver durably persists Snapshot,
// HardState and Entries, then sends Messages, then applies Snapshot and Committed
// and answers ReadStates, and finally calls Advance. It must not modify the contents.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *apipb.HardState
	// Snapshot is a snapshot received from the leader, which replaces the state
	// machine and the log, or nil.
	Snapshot *apipb.Snapshot
	// Entries are to be appended to the log. If the index of the first one is already
	// in the log, it replaces that entry and everything after it.
	Entries    []*apipb.LogEntry
	Messages   []*apipb.ConsensusMessage
	Committed  []*apipb.LogEntry // to be applied to the state machine
	ReadStates []ReadState
}

// ReadState confirms a read request. The read may be served once the entry at
// Index is applied.
type ReadState struct {
	RequestID uint64
	Index     uint64
}

func (r *Ready) empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.ReadStates) == 0
}

// Ready returns the pending work and whether there is any. Proposals made since the
// last call share append messages, so a driver batches by processing many inputs
// between calls.
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

// Advance informs the Node that the driver has completed the work in rd.
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
