// Package grant distributes shared caps over the fleet as leased grants.
//
// The Owner runs at the consensus leader and keeps the ledger; a Holder runs at
// each entry VM and spends its part through Bucket (rate with burst) and Units
// (integers held concurrently). Over all holders the rates in force never sum to
// more than the cap's rate and the depths to no more than its burst. A decrease
// counts at the owner only once the holder acknowledged it or its lease expired;
// an increase counts at once; new depth starts empty.
//
// The lock of a Holder is taken before those of its Bucket and Units, and those of
// package fairqueue before all of them. The Owner has one lock of its own. None is
// held across I/O, and none while a caller's function runs.
//
// The package does no I/O and starts no goroutines. Time comes from clock.Clock.
package grant
