// Package lookup ranks the entry VMs for a caller.
//
// The caller's region comes first, then the others by distance. Within a region,
// each key (usually a hash of the caller's address and port) has its own order by
// rendezvous hashing, so that callers of one block do not all pick the same VM and
// a change of one VM moves only the callers that used it. Orders are precomputed
// per region when its VMs change; a look-up only copies pointers.
package lookup
