package entry

import "github.com/juju/errors"

// Errors of the entry daemon.
const (
	// ErrNoControl: no control daemon answered.
	ErrNoControl = errors.ConstError("no control daemon answered")
	// ErrLowerRevision: a control daemon offered an older document than is in force here.
	ErrLowerRevision = errors.ConstError("the control daemon offers a lower revision")
	// ErrUnconfirmed: a control daemon's state is not confirmed by the majority.
	ErrUnconfirmed = errors.ConstError("the control daemon is cut off from the majority")
	// ErrDocumentMismatch: a control daemon confirms another document than is in force here.
	ErrDocumentMismatch = errors.ConstError("the control daemon confirms another document")
	// ErrDeploymentMismatch: a document belongs to another installation.
	ErrDeploymentMismatch = errors.ConstError("the document belongs to another deployment")
	// ErrSnapshot: a document could not be fetched whole.
	ErrSnapshot = errors.ConstError("the document could not be fetched")
)
