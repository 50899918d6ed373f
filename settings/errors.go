package settings

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors of this package.
const (
	// ErrHelp is returned by Parse after it printed the help text on request.
	ErrHelp = errors.ConstError("help was printed")
	// ErrUsage reports arguments that match no flag or command.
	ErrUsage = errors.ConstError("invalid arguments")
	// ErrListen reports a listener that could not be opened.
	ErrListen = errors.ConstError("failed to listen")
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// InvalidError reports one invalid or missing setting.
type InvalidError struct {
	// Flag is the name of the flag, with leading dashes.
	Flag string
	// Variable is the name of the environment variable of the same setting.
	Variable string
	// Value is the rejected value; empty if the setting is missing.
	Value string
	// Missing is true if a required setting was not given.
	Missing bool
	// Allowed describes the accepted values.
	Allowed string
	// Cause is why the value was rejected; nil if Allowed explains it.
	Cause error
}

// Error returns a text with the flag, the variable, the value and the allowed values.
func (e *InvalidError) Error() string {
	if e.Missing {
		return fmt.Sprintf("%s (%s) is not set; allowed: %s", e.Flag, e.Variable, e.Allowed)
	}
	text := fmt.Sprintf("%s (%s): invalid value %q; allowed: %s", e.Flag, e.Variable, e.Value, e.Allowed)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// InvalidFile returns an InvalidError for a setting whose file cannot be used.
func InvalidFile(flag, variable, path, allowed string, cause error) error {
	return &InvalidError{Flag: flag, Variable: variable, Value: path, Allowed: allowed, Cause: cause}
}

// ExitCode returns the exit code for the result of a program.
func ExitCode(err error) int {
	var invalid *InvalidError
	switch {
	case err == nil, errors.Is(err, ErrHelp):
		return ExitOK
	case errors.As(err, &invalid), errors.Is(err, ErrUsage):
		return ExitUsage
	default:
		return ExitFailure
	}
}
