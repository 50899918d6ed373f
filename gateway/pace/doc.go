// Package pace decides how many requests one entry VM keeps in flight at an upstream that has started
// or recovered, or that it has had no response from yet. It does no I/O, and time is an argument. The load
// pattern that it addresses: many VMs, none of which knows what the others send, fill an upstream in the
// same moment.
package pace
