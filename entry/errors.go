package entry

import "github.com/juju/errors"

// Errors of the entry daemon.
const (
	// ErrNoControl: no control daemon is configured or known.
	ErrNoControl = errors.ConstError("no control daemon known")
	// ErrLowerRevision: a control daemon sent an older document than the one in force.
	ErrLowerRevision = errors.ConstError("control daemon sent a lower revision")
	// ErrUnconfirmed: the state of a control daemon is not confirmed by the majority.
	ErrUnconfirmed = errors.ConstError("control daemon is partitioned from the majority")
	// ErrDocumentMismatch: a control daemon confirmed another document than the one in
	// force.
	ErrDocumentMismatch = errors.ConstError("control daemon confirmed a different document")
	// ErrDeploymentMismatch: a document belongs to another deployment.
	ErrDeploymentMismatch = errors.ConstError("document belongs to another deployment")
	// ErrSnapshot: a complete document could not be fetched.
	ErrSnapshot = errors.ConstError("document snapshot unavailable")
)
