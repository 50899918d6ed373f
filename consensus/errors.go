package consensus

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors returned by Bootstrap, New and the methods of Node. Match them with errors.Is.
const (
	// ErrInvalidConfig means that a setting or the first member list is invalid.
	ErrInvalidConfig = errors.ConstError("consensus: invalid configuration")
	// ErrInvalidState means that the persisted state is inconsistent.
	ErrInvalidState = errors.ConstError("consensus: invalid persisted state")
	// ErrNotLeader matches every NotLeaderError.
	ErrNotLeader = errors.ConstError("consensus: not the leader")
	// ErrTransferInProgress means that the leader accepts no proposals because it is
	// transferring leadership.
	ErrTransferInProgress = errors.ConstError("consensus: leadership transfer in progress")
	// ErrTransferTarget means that the target of a leadership transfer is not another voter.
	ErrTransferTarget = errors.ConstError("consensus: transfer target is not another voter")
	// ErrProposalTooLarge means that the proposal does not fit in one message.
	ErrProposalTooLarge = errors.ConstError("consensus: proposal too large")
	// ErrBusy means that too many proposals or reads wait for a quorum.
	ErrBusy = errors.ConstError("consensus: too many pending proposals or reads")
	// ErrChangePending means that another member change is in progress, or that the
	// leader has not yet committed an entry of its term.
	ErrChangePending = errors.ConstError("consensus: member change not possible yet")
	// ErrNotCaughtUp means that the learner lacks committed entries.
	ErrNotCaughtUp = errors.ConstError("consensus: learner has not caught up")
	// ErrInvalidMemberChange means that the change is not valid for the current member set.
	ErrInvalidMemberChange = errors.ConstError("consensus: invalid member change")
	// ErrInvalidMessage means that a message is malformed or addressed to another member.
	ErrInvalidMessage = errors.ConstError("consensus: invalid message")
	// ErrDiverged means that the leader contradicts a committed entry or that a term
	// has two leaders: a member violated the protocol or lost synced data.
	ErrDiverged = errors.ConstError("consensus: log diverges below the commit index")
	// ErrSnapshotIndex means that a snapshot was requested at an index that is not
	// applied, no longer in memory, or below the last snapshot.
	ErrSnapshotIndex = errors.ConstError("consensus: snapshot index out of range")
)

// NotLeaderError is returned for a request that only the leader can serve.
type NotLeaderError struct {
	// Leader is the id of the leader, or 0 if it is unknown.
	Leader uint64
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: not the leader, no leader known"
	}
	return fmt.Sprintf("consensus: not the leader, leader is %x", e.Leader)
}

// Is reports whether target is ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
