package settings

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
)

// EnvironmentPrefix starts the name of every environment variable.
const EnvironmentPrefix = "PM"

// Program describes a program to its user.
type Program struct {
	Name        string
	Description string
	// Stdout and Stderr default to those of the process.
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
		return "", errors.Annotate(err, "settings struct")
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

// Run parses the settings, calls run until it returns or a signal arrives,
// prints an error if there is one, and returns the exit code.
func (p Program) Run(target any, args []string, run func(context.Context) error) int {
	_, err := p.Parse(target, args)
	return p.RunParsed(err, run)
}

// RunParsed runs a program whose settings were parsed with the given result, prints
// an error if there is one, and returns the exit code.
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
