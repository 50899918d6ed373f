// Package clock gives the time sources that leases and timeouts are counted on.
//
// A process that was stopped, or whose VM was paused, may find that one of its
// clocks did not count the pause. Instants therefore carry three readings, and
// the time elapsed between two instants is the largest of the three differences.
package clock
