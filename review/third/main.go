// Command review3 runs the cases of the third review: review3 CASE RECORD. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"pistachiomount.example/pistachiomount/review/third/fleet"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// caseByName returns a case, or nil if there is none.
func caseByName(name string) func(r *fleet.Record, trouble bool) int {
	switch name {
	case "moved-key":
		return movedKeyCase
	case "added-route":
		return addedRouteCase
	case "outdated-start":
		return outdatedStartCase
	case "added-home":
		return addedHomeCase
	case "late-order":
		return lateOrderCase
	}
	return nil
}

func main() {
	if len(os.Args) != 3 || caseByName(os.Args[1]) == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(couldNot)
	}
	record, err := fleet.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- caseByName(os.Args[1])(record, os.Getenv("TROUBLE") != "0") }()
	code := couldNot
	select {
	case code = <-done:
	case <-stop: // the daemons end with this process
	}
	record.Printf("exit code %d", code)
	record.Close()
	os.Exit(code)
}
