// Command second plays the cases of the second review, each on a small deployment of its own.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each gets whether the disruption takes place.
var cases = map[string]func(log *record, trouble bool) (int, error){
	"disks":     twoDisks,
	"first":     firstStart,
	"stopped":   plannedStop,
	"withdrawn": withdrawnKeys,
	"foreign":   foreignEntry,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD")
		os.Exit(failed)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	status, err := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = failed
	}
	log.add("exit status %d", status)
	os.Exit(status)
}
