// Package fairqueue implements weighted fair queueing by customer in front of the slots of a
// service.
//
// Requests of one customer are served in order of arrival; between customers, the one with the
// smallest virtual start time is served next (start-time fair queueing). A customer that sends more
// than its share only lengthens its own queue, which is bounded. Requests whose deadline would pass
// while they wait are rejected on arrival, and requests whose deadline passes in the queue are
// dropped.
//
// The package starts no goroutines and sets no timers: slots are assigned in calls of Wake, which
// the caller makes when a slot may have become free.
package fairqueue
