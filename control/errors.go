package control

import "github.com/juju/errors"

// Errors of the control daemon.
const (
	// ErrStopped: the daemon is stopping.
	ErrStopped = errors.ConstError("the control daemon is stopping")
	// ErrNoLeader: no leader is known at the moment; ask again.
	ErrNoLeader = errors.ConstError("no leader is known")
	// ErrOutcomeUnknown: the command may or may not take effect; a resend gets its answer.
	ErrOutcomeUnknown = errors.ConstError("the outcome is unknown: send the same request again")
	// ErrNotInitialised: the daemon belongs to no cluster yet.
	ErrNotInitialised = errors.ConstError("the daemon belongs to no cluster yet")
	// ErrAlreadyInitialised: a cluster exists.
	ErrAlreadyInitialised = errors.ConstError("a cluster exists already")
	// ErrUnfinishedInit: the data folder holds the rest of an init that was cut
	// short. It belongs to no cluster and may be removed.
	ErrUnfinishedInit = errors.ConstError("the data folder holds an unfinished init: remove it and start again")
	// ErrPeerUnreachable: initialising needs every configured peer, so that no
	// second cluster is formed beside one that cannot be seen.
	ErrPeerUnreachable = errors.ConstError("a configured peer cannot be reached")
	// ErrClusterMismatch: a message came from another cluster.
	ErrClusterMismatch = errors.ConstError("the message belongs to another cluster")
	// ErrNameInUse: a member with this name is running.
	ErrNameInUse = errors.ConstError("a running member has this name")
	// ErrJoinPending: the change that takes the daemon in is not committed yet; ask again.
	ErrJoinPending = errors.ConstError("the member is being taken in")
	// ErrTooFewVoters: the group has too few voters for a change to be safe yet.
	ErrTooFewVoters = errors.ConstError("the group is forming: too few control daemons vote yet")
	// ErrStorage: the log cannot be written; the daemon must stop.
	ErrStorage = errors.ConstError("the log cannot be written")
)
