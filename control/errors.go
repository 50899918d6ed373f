package control

import "github.com/juju/errors"

// Errors of the control daemon.
const (
	// ErrStopped means that the daemon is stopping.
	ErrStopped = errors.ConstError("the control daemon is stopping")
	// ErrNoLeader means that no leader is known at the moment. The caller may retry.
	ErrNoLeader = errors.ConstError("no leader is known")
	// ErrOutcomeUnknown means that the command may or may not take effect. Resending
	// the same command returns its result.
	ErrOutcomeUnknown = errors.ConstError("outcome unknown: send the same request again")
	// ErrNotInitialised means that the daemon does not belong to a cluster yet.
	ErrNotInitialised = errors.ConstError("the daemon does not belong to a cluster yet")
	// ErrAlreadyInitialised means that a cluster already exists.
	ErrAlreadyInitialised = errors.ConstError("a cluster already exists")
	// ErrUnfinishedInit means that the data directory holds the state of an
	// interrupted init. It belongs to no cluster and may be removed.
	ErrUnfinishedInit = errors.ConstError("the data folder holds an unfinished init: remove it and restart")
	// ErrPeerUnreachable means that a configured peer did not answer. Initialisation
	// asks every peer, so that no second cluster is formed beside one that cannot be
	// reached.
	ErrPeerUnreachable = errors.ConstError("a configured peer cannot be reached")
	// ErrClusterMismatch means that a message came from another cluster.
	ErrClusterMismatch = errors.ConstError("the message belongs to another cluster")
	// ErrNameInUse means that a running member has the same name.
	ErrNameInUse = errors.ConstError("the name is in use by a running member")
	// ErrJoinPending means that the change that adds or updates the member is not
	// committed yet. The daemon should ask again.
	ErrJoinPending = errors.ConstError("the member change is not committed yet")
	// ErrTooFewVoters means that the group has fewer voters than Config.MinVoters.
	ErrTooFewVoters = errors.ConstError("the group has too few voters")
	// ErrStalePlan means that a newer plan than the one that is being read is in force.
	ErrStalePlan = errors.ConstError("a newer plan is in force")
	// ErrStorage means that the log cannot be opened or written. The daemon must stop.
	ErrStorage = errors.ConstError("the log cannot be written")
)
