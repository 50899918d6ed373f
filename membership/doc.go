// Package membership holds the life cycle of an entry process and the list of
// entry VMs.
//
// Lifecycle is the process's own state: starting, serving, leaving, stopped.
// Fleet is kept by the control leader from the heartbeats in Renew requests; the
// platform's list is a hint that can make a VM leaving sooner but never removes
// one that sends heartbeats.
package membership
