package consensus

import "pistachiomount.example/pistachiomount/apipb"

// Status is a view of a Node for its driver.
type Status struct {
	ID     uint64
	Role   Role
	Term   uint64
	Leader uint64 // 0 when not known
	Commit uint64
	// Applied is the last entry that the driver reported as applied.
	Applied   uint64
	LastIndex uint64
	// LeaseValid holds on at most one member at a time while tick intervals
	// differ by at most 2%. LeaseTicks is what is left of it.
	LeaseValid     bool
	LeaseTicksLeft uint64
	// TermCommitted tells that a leader has committed an entry of its own term.
	TermCommitted bool
	// Transferee is the member that leadership is being transferred to, or 0.
	Transferee uint64
	// Members is in force from the moment its entry was appended. Read-only.
	Members *apipb.MemberSet
}

// MemberProgress tells how far a leader knows a member's log to be durable.
type MemberProgress struct {
	ID       uint64
	Match    uint64
	Snapshot bool // a snapshot is being sent
	CaughtUp bool // would be accepted as a voter
}

// Status returns the current state.
func (n *Node) Status() Status {
	left := n.leaseTicksLeft()
	return Status{
		ID: n.cfg.ID, Role: n.role(), Term: n.term, Leader: n.leader,
		Commit: n.log.committed, Applied: n.log.applied, LastIndex: n.log.lastIndex(),
		LeaseValid: left > 0, LeaseTicksLeft: left,
		TermCommitted: n.role() == RoleLeader && n.termCommitted(),
		Transferee:    n.transferee,
		Members:       n.members.current(),
	}
}

// Progress returns the state of replication to every other member; it is empty
// on members that do not lead.
func (n *Node) Progress() []MemberProgress {
	if n.role() != RoleLeader {
		return nil
	}
	var out []MemberProgress
	n.forEachPeer(func(id uint64, pr *progress) {
		out = append(out, MemberProgress{
			ID: id, Match: pr.match, Snapshot: pr.state == progressSnapshot, CaughtUp: n.caughtUp(id),
		})
	})
	return out
}
