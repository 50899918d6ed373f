package consensus

import (
	"slices"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/apipb"
)

// Bootstrap puts the first members into a snapshot at this index and term. Every
// leader has a higher term, so a member at this term has never heard from a leader.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// PersistentState is the state that a member loads from disk when it starts. The
// zero value is the state of a member that waits to be added to a group.
type PersistentState struct {
	HardState *apipb.HardState
	Snapshot  *apipb.Snapshot
	// Entries are the log after the snapshot, without gaps.
	Entries []*apipb.LogEntry
}

// Bootstrap returns the initial state of a new group. Every first member starts
// from the same state; members that join later start empty. The snapshot has no
// data, which represents the empty state machine.
func Bootstrap(members []*apipb.Member) (PersistentState, error) {
	set := &apipb.MemberSet{}
	for _, m := range members {
		if m.GetId() == 0 || findMember(set, m.GetId()) != nil {
			return PersistentState{}, errors.Annotatef(ErrInvalidConfig, "member id %x is zero or used twice", m.GetId())
		}
		c := cloneMember(m)
		c.Voter = true
		set.Members = append(set.Members, c)
	}
	if len(set.Members) == 0 {
		return PersistentState{}, errors.Annotate(ErrInvalidConfig, "a group needs at least one voter")
	}
	slices.SortFunc(set.Members, compareMembers)
	return PersistentState{
		HardState: &apipb.HardState{Term: bootstrapTerm, Commit: bootstrapIndex},
		Snapshot: &apipb.Snapshot{
			Meta: &apipb.SnapshotMeta{Index: bootstrapIndex, Term: bootstrapTerm, Members: set},
		},
	}, nil
}
