// Package consensus implements a variant of the Raft protocol as a deterministic
// state machine.
//
// The inputs of a Node are messages and ticks. Ready returns what the driver must
// persist, send and apply, in that order. A Node does no I/O, starts no goroutine,
// reads no clock and takes its random numbers from a seed, so that every run can
// be replayed. It is not safe for concurrent use.
//
// The driver calls Tick once per tick interval of its own clock. After a pause it
// must call Tick for every missed interval before it relies on the lease reported
// by Status, because the lease is counted in ticks.
//
// Member changes take effect when they are appended, as in the Raft
// dissertation, and are undone when their entry is truncated.
package consensus
