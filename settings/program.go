package settings

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
)

// EnvironmentPrefix is the prefix of the names of all environment variables, followed
// by an underscore.
const EnvironmentPrefix = "PM"

// Program parses the settings of a program and runs it. Name and Description appear in
// the help text.
type Program struct {
	Name        string
	Description string
	// Stdout and Stderr default to the streams of the process.
	Stdout, Stderr io.Writer
}

// Parse reads arguments and environment variables into target, a pointer to a
// struct with kong tags. It returns the selected command, which is empty for
// programs without commands.
func (p Program) Parse(target any, args []string) (string, error) {
	var helpPrinted bool
	checks := &checker{}
	parser, err := kong.New(target,
		kong.Name(p.Name),
		kong.Description(p.Description),
		kong.Writers(p.stdout(), p.stderr()),
		kong.Exit(func(int) { helpPrinted = true }),
		kong.DefaultEnvars(EnvironmentPrefix),
		kong.PostBuild(checks.install),
	)
	if err != nil {
		return "", errors.Annotate(err, "build parser from settings struct")
	}
	parsed, err := parser.Parse(args)
	if helpPrinted {
		return "", ErrHelp
	}
	if err != nil {
		return "", checks.convertError(err)
	}
	return parsed.Command(), nil
}

// Run parses the settings and calls run with a context that is cancelled by a signal.
// It prints an error if there is one, and returns the exit code.
func (p Program) Run(target any, args []string, run func(context.Context) error) int {
	_, err := p.Parse(target, args)
	return p.RunParsed(err, run)
}

// RunParsed is like Run for settings that are already parsed; err is the error of Parse.
func (p Program) RunParsed(err error, run func(context.Context) error) int {
	if err == nil {
		err = RunUntilSignal(run)
	}
	if err != nil && !errors.Is(err, ErrHelp) {
		_, _ = fmt.Fprintf(p.stderr(), "%s: %v\n", p.Name, err)
	}
	return ExitCode(err)
}

func (p Program) stdout() io.Writer {
	if p.Stdout == nil {
		return os.Stdout
	}
	return p.Stdout
}

func (p Program) stderr() io.Writer {
	if p.Stderr == nil {
		return os.Stderr
	}
	return p.Stderr
}
