// Package lookup ranks the entry VMs for a caller.
//
// The caller's region comes first, then the others by distance. Within a region,
// rendezvous hashing gives each key (usually a hash of the caller's address and
// port) its own order, so that callers of one address block do not all pick the same
// VM and a change of one VM moves only the callers that used it. The orders of a
// region are precomputed when its VMs change; a lookup only copies pointers.
package lookup
