// Package membership holds the life cycle of an entry process and the list of
// entry VMs.
//
// Lifecycle is the state of the local process: starting, serving, leaving, stopped.
// Fleet is maintained by the control leader from the heartbeats in Renew requests.
// The platform's list is only a hint: it can mark a VM as leaving early but never
// removes one that sends heartbeats.
package membership
