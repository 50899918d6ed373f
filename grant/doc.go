// Package grant divides fleet-wide limits ("caps") among processes as leases ("grants").
//
// The Owner runs on the consensus leader and keeps the ledger of all grants. A Holder runs
// on each entry VM and serves the request path from its grants through Bucket (a rate with
// burst) and Units (units held concurrently). A RegionalOwner can stand between the two: it
// divides what the leader granted to it among the holders of one region.
//
// Summed over all holders, the rates in force never exceed the rate of the cap, and the
// depths of the buckets never exceed its burst. The owner counts a decrease only once the
// holder has acknowledged it or its lease has expired; it counts an increase at once. Depth
// that is new to a bucket starts empty.
//
// Lock order: the locks of package fairqueue, then that of a Holder, then those of its Bucket
// and Units. The Owner has a single lock. No lock is held across I/O or while a function that
// the caller passed in runs.
//
// The package does no I/O and starts no goroutines. It reads the time from clock.Clock.
package grant
