package main

import (
	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/document"
	"pistachiomount.example/pistachiomount/operator"
	"pistachiomount.example/pistachiomount/settings"
)

// Exit codes beyond those of package settings.
const (
	// exitConflict: another document has the number, or trial has not accepted this one.
	exitConflict = 3
	// exitUnreachable: no answer came, so the outcome is unknown; repeat the command.
	exitUnreachable = 4
)

// errConflict marks a document that was refused for its number or digest.
const errConflict = errors.ConstError("the document was not accepted")

func exitCode(err error) int {
	var invalid *document.InvalidError
	var refused *operator.RejectedError
	switch {
	case errors.Is(err, errConflict):
		return exitConflict
	case errors.Is(err, operator.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &invalid):
		return settings.ExitUsage
	case errors.As(err, &refused) && refused.Reason == "outcome_unknown":
		return exitUnreachable
	case errors.As(err, &refused) && refused.Reason == "invalid_document":
		return settings.ExitUsage
	}
	return settings.ExitCode(err)
}
