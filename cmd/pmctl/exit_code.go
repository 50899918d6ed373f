package main

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/operator"
	"pistachiomount.example/pistachiomount/settings"
)

// Exit codes beyond those of package settings.
const (
	// exitConflict: the number belongs to another document, or trial has not accepted this one.
	exitConflict = 3
	// exitUnreachable: no response arrived, so the outcome is unknown and the command can be repeated.
	exitUnreachable = 4
)

// errNotAccepted reports a document that was rejected for its number or digest.
const errNotAccepted = errors.ConstError("the document was not accepted")

// Results of the command check.
const (
	errHasErrors   = errors.ConstError("the document has errors")
	errHasWarnings = errors.ConstError("the document has warnings")
)

func exitCode(err error) int {
	var invalid *document.InvalidError
	var rejected *operator.RejectedError
	switch {
	case errors.Is(err, errNotAccepted):
		return exitConflict
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &invalid), errors.Is(err, errHasErrors):
		return settings.ExitUsage
	case errors.As(err, &rejected) && rejected.Reason == "outcome_unknown":
		return exitUnreachable
	case errors.As(err, &rejected) && rejected.Reason == "invalid_document":
		return settings.ExitUsage
	}
	return settings.ExitCode(err)
}
