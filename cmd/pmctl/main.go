// Command pmctl is the operators' client: it validates, applies, promotes and
// compares documents and shows which document is in force on each daemon.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/settings"
)

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute parses the arguments, runs the command and returns the exit code.
func execute(args []string) int {
	options := &options{}
	program := settings.Program{Name: "pmctl", Description: "Operators' client of pistachiomount."}
	command, err := program.Parse(options, args)
	if err == nil {
		err = settings.RunUntilSignal(func(ctx context.Context) error {
			return options.run(ctx, command, os.Stdout)
		})
	}
	if err != nil && !errors.Is(err, settings.ErrHelp) {
		fmt.Fprintf(os.Stderr, "pmctl: %v\n", err)
	}
	return exitCode(err)
}
