package membership

import "github.com/juju/errors"

const (
	// ErrTransition is returned for a state transition that the life cycle does not permit.
	ErrTransition = errors.ConstError("life cycle transition not permitted")
	// ErrStaleIncarnation is returned for a heartbeat from an earlier incarnation of a VM.
	ErrStaleIncarnation = errors.ConstError("stale incarnation")
	// ErrInvalidVM is returned for a heartbeat without a name or incarnation or with an unknown state.
	ErrInvalidVM = errors.ConstError("invalid VM")
)
