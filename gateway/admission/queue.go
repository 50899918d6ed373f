package admission

import (
	"slices"
	"time"

	"pistachiomount.example/pistachiomount/gateway/placement"
)

// Waiter is a request that waits for a free slot.
type Waiter struct {
	Query placement.Query
	// Arrived and Until are the start and the end of the wait.
	Arrived, Until time.Time
}

// Queue holds the requests of one service that wait for a slot, ordered by rank and then
// by arrival. It is not safe for concurrent use.
type Queue struct {
	waiting []*Waiter
}

// Add inserts a request in order.
func (q *Queue) Add(w *Waiter) {
	index, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiter) int {
		if order := a.Query.Compare(&b.Query); order != 0 {
			return order
		}
		return a.Arrived.Compare(b.Arrived)
	})
	q.waiting = slices.Insert(q.waiting, index, w)
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	at := slices.Index(q.waiting, w)
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// RemoveFunc calls try for the waiting requests in order and removes those for which it
// returns true.
func (q *Queue) RemoveFunc(try func(*Waiter) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, try)
}
