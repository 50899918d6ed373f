// Package fairqueue is a weighted fair queue by customer in front of the slots of
// a service.
//
// Requests of one customer are served in order of arrival; between customers the
// one with the smallest virtual start time is next (start-time fair queueing). A
// customer that sends more than its share only lengthens its own queue, which is
// bounded. Requests whose deadline would pass while they wait are rejected on
// arrival, and dropped if it passes in the queue.
//
// The package starts no goroutines and sets no timers: slots are handed out in
// calls of Wake, which the caller makes when a slot may have become free.
package fairqueue
