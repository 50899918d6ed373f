// Package control is the control daemon: a member of the consensus group that
// keeps the replicated store, answers entry daemons and operators, and owns all
// grants while it leads.
//
// One goroutine, the engine's loop, owns the consensus node, the log and the
// store; everything else reaches them by functions run on that loop. Work comes
// from the loop in the order that the consensus package asks for: persist, then
// send, then apply.
package control
