package entry

import "time"

// knowledgeState is what a process may act on at a moment.
type knowledgeState struct {
	run         uint64
	view, lists bool
	// wait is the time until the state may change, or is no longer worth waiting for, if nothing is learned.
	wait time.Duration
	// changed is closed once something is learned.
	changed <-chan struct{}
}

// all reports whether the process may act on everything.
func (s knowledgeState) all() bool { return s.view && s.lists }
