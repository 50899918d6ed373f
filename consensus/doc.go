// Package consensus is a Raft-family protocol written as a pure step function.
//
// A Node takes messages and ticks in and hands out, through Ready, what must be
// persisted, sent and applied, in that order. It does no I/O, starts no
// goroutine, reads no clock and draws its randomness from a seed, so that every
// run can be replayed. A Node is not safe for concurrent use.
//
// The driver calls Tick once for each tick interval that has passed on its own
// clock. After a pause it makes up for all missed ticks before it uses the
// lease reported by Status: the lease is counted in ticks.
//
// Member changes take effect when they are appended, as in the Raft
// dissertation, and are undone when their entry is truncated.
package consensus
