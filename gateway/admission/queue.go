package admission

import (
	"slices"
	"time"

	"pistachiomount.example/pistachiomount/gateway/placement"
)

// Waiter is a request that waits for room.
type Waiter struct {
	Query placement.Query
	// Arrived and Until bound its wait.
	Arrived, Until time.Time
}

// Queue holds the requests of one service that wait for room, in the order in
// which they get it: by rank, then by arrival. It is not safe for concurrent use.
type Queue struct {
	waiting []*Waiter
}

// Add puts a request into the queue.
func (q *Queue) Add(w *Waiter) {
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiter) int {
		if order := a.Query.Compare(&b.Query); order != 0 {
			return order
		}
		return a.Arrived.Compare(b.Arrived)
	})
	q.waiting = slices.Insert(q.waiting, at, w)
}

// Remove takes a request out. It reports whether it was there.
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

// RemoveFunc calls try for the waiting requests in order and takes out those for which
// it returns true.
func (q *Queue) RemoveFunc(try func(*Waiter) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, try)
}
