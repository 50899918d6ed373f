package consensus

import "pistachiomount.example/pistachiomount/apipb"

// Status is a snapshot of a Node's state for its driver.
type Status struct {
	ID     uint64
	Role   Role
	Term   uint64
	Leader uint64 // 0 if unknown
	Commit uint64
	// Applied is the index of the last entry that the driver reported as applied.
	Applied   uint64
	LastIndex uint64
	// LeaseValid is true on at most one member at a time, provided that tick
	// intervals deviate from the nominal one by at most 2%. LeaseTicksLeft is the
	// remaining time of the lease.
	LeaseValid     bool
	LeaseTicksLeft uint64
	// TermCommitted is true on a leader that has committed an entry of its own term.
	TermCommitted bool
	// Transferee is the target of a leadership transfer in progress, or 0.
	Transferee uint64
	// Members is the current member set, which takes effect when its entry is
	// appended. It must not be modified.
	Members *apipb.MemberSet
}

// MemberProgress is the replication state of a member as its leader knows it.
type MemberProgress struct {
	ID       uint64
	Match    uint64 // the member's log is durable up to this index
	Snapshot bool   // a snapshot is being sent
	CaughtUp bool   // the member can be promoted to voter
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

// Progress returns the replication state of every other member. It returns nil
// on members that are not the leader.
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
