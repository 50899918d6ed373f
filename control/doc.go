// Package control implements the control daemon: a member of the consensus group
// that keeps the replicated store, serves entry daemons and operators, and owns
// all grants while it leads.
//
// One goroutine, the engine's loop, owns the consensus node and the store and is
// the only writer of the log. Other goroutines reach them through functions that
// run on the loop. The loop handles the output of the consensus node in the order
// that package consensus requires: persist, send, apply.
package control
