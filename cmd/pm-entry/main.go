// Command pm-entry is the entry daemon: it tells callers which entry VMs to use
// and forwards their requests to upstreams within the leased limits.
package main

import (
	"os"

	"pistachiomount.example/pistachiomount/settings"
)

func main() {
	options := &options{}
	program := settings.Program{Name: "pm-entry", Description: "Entry daemon of pistachiomount."}
	os.Exit(program.Run(options, os.Args[1:], options.run))
}
