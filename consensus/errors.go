package consensus

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors returned by a Node. Match them with errors.Is.
const (
	// ErrInvalidConfig: a setting is not usable.
	ErrInvalidConfig = errors.ConstError("consensus: invalid configuration")
	// ErrInvalidState: the persisted state contradicts itself.
	ErrInvalidState = errors.ConstError("consensus: invalid persisted state")
	// ErrNotLeader: matched by every NotLeaderError.
	ErrNotLeader = errors.ConstError("consensus: not the leader")
	// ErrTransferInProgress: the leader is handing leadership over and takes no proposals.
	ErrTransferInProgress = errors.ConstError("consensus: leadership transfer in progress")
	// ErrTransferTarget: leadership can go only to another voter.
	ErrTransferTarget = errors.ConstError("consensus: transfer target is not another voter")
	// ErrProposalTooLarge: the proposal does not fit in one message.
	ErrProposalTooLarge = errors.ConstError("consensus: proposal too large")
	// ErrBusy: too many proposals or reads wait for a majority.
	ErrBusy = errors.ConstError("consensus: too much work pending")
	// ErrChangePending: another member change is not finished, or the leader has
	// not yet committed an entry of its term.
	ErrChangePending = errors.ConstError("consensus: member change not possible yet")
	// ErrNotCaughtUp: the learner lacks committed entries.
	ErrNotCaughtUp = errors.ConstError("consensus: learner has not caught up")
	// ErrInvalidMemberChange: the change does not fit the membership.
	ErrInvalidMemberChange = errors.ConstError("consensus: invalid member change")
	// ErrInvalidMessage: a message is malformed or addressed to another member.
	ErrInvalidMessage = errors.ConstError("consensus: invalid message")
	// ErrDiverged: the leader contradicts a committed entry, so one of the
	// members broke the protocol or lost synced data.
	ErrDiverged = errors.ConstError("consensus: log diverges below the commit index")
	// ErrSnapshotIndex: a snapshot was asked for an index that cannot be covered.
	ErrSnapshotIndex = errors.ConstError("consensus: snapshot index out of range")
)

// NotLeaderError is returned for a request that only the leader can serve.
type NotLeaderError struct {
	// Leader is the id of the leader, or 0 when it is not known.
	Leader uint64
}

func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "consensus: not the leader, no leader known"
	}
	return fmt.Sprintf("consensus: not the leader, leader is %x", e.Leader)
}

// Is reports whether target is ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
