// Package clock provides the time sources that leases and timeouts are measured with.
//
// After a process was stopped, or its VM was paused, one of its clocks may not
// have counted the pause. An Instant therefore holds three readings, and the time
// elapsed between two instants is the largest of the three differences.
package clock
