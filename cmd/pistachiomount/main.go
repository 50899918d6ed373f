// Command pistachiomount runs the daemons on a platform that provides a settings
// file: the gateway on entry VMs, and the control daemon on VMs with a disk.
package main

import (
	"context"
	"os"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/settings"
)

// commands are the roles of the process; kong selects one by the command line.
type commands struct {
	Gateway gatewayRole `cmd:"" help:"Serve callers on an entry VM."`
	Control controlRole `cmd:"" help:"Serve operators, and keep the state, on a VM with a disk."`
}

func main() {
	selected := &commands{}
	program := settings.Program{Name: "pistachiomount", Description: "Daemons of pistachiomount on a platform."}
	command, err := program.Parse(selected, os.Args[1:])
	run := selected.Gateway.run
	if command == "control" {
		run = selected.Control.run
	}
	os.Exit(program.RunParsed(err, func(ctx context.Context) error { return errors.Trace(run(ctx)) }))
}
