// Command pm-control is the control daemon: a member of the consensus group that
// stores documents, claims and deferred jobs, and owns all grants while it is the leader.
package main

import (
	"os"

	"pistachiomount.example/pistachiomount/settings"
)

func main() {
	options := &options{}
	program := settings.Program{Name: "pm-control", Description: "Control daemon of pistachiomount."}
	os.Exit(program.Run(options, os.Args[1:], options.run))
}
