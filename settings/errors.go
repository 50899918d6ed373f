package settings

import (
	"fmt"

	"github.com/juju/errors"
)

// Errors of this package.
const (
	// ErrHelp is returned after the help text was printed on request.
	ErrHelp = errors.ConstError("help was printed")
	// ErrUsage marks arguments that fit no flag or command.
	ErrUsage = errors.ConstError("wrong arguments")
	// ErrListen marks a listener that could not be opened.
	ErrListen = errors.ConstError("cannot listen")
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// InvalidError reports one wrong setting.
type InvalidError struct {
	// Flag is the name of the flag with its dashes.
	Flag string
	// Variable is the environment variable that sets the same value.
	Variable string
	// Value is the rejected value; empty if the setting is missing.
	Value string
	// Missing is true if a required setting was not given.
	Missing bool
	// Allowed describes the accepted values.
	Allowed string
	// Cause tells why the value is rejected, where Allowed does not say it all.
	Cause error
}

// Error names the flag, the variable, the value and what is allowed.
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

// InvalidFile reports a setting that names an unusable file.
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
