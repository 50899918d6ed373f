package gateway

import (
	"context"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/gateway/admission"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
)

// turns places the requests of one service: it keeps the table of package placement and
// the queue of package admission and carries their decisions to the waiting requests.
type turns struct {
	mu    sync.Mutex
	table *placement.Table
	queue admission.Queue
	// waiting holds the channels of the requests in the queue.
	waiting map[*admission.Waiter]chan inventory.Upstream
}

func newTurns(self placement.Location, pace *placement.ShiftLimiter) *turns {
	return &turns{table: placement.NewTable(self, pace), waiting: map[*admission.Waiter]chan inventory.Upstream{}}
}

// acquire waits for an upstream with room until the given time. The caller gives
// it back with done.
func (t *turns) acquire(ctx context.Context, q placement.Query, until time.Time) (inventory.Upstream, placement.Verdict) {
	t.mu.Lock()
	now := time.Now()
	t.place(now) // so that nobody is overtaken at an upstream that has room by now
	chosen, verdict := t.table.Pick(now, &q)
	if verdict != placement.NoCapacity || !now.Before(until) {
		t.mu.Unlock()
		return chosen, verdict
	}
	w := &admission.Waiter{Query: q, Arrived: now, Until: until}
	turn := make(chan inventory.Upstream, 1)
	t.queue.Add(w)
	t.waiting[w] = turn
	t.mu.Unlock()
	return t.await(ctx, w, turn)
}

func (t *turns) await(ctx context.Context, w *admission.Waiter, turn chan inventory.Upstream) (inventory.Upstream, placement.Verdict) {
	timer := time.NewTimer(time.Until(w.Until))
	defer timer.Stop()
	select {
	case chosen := <-turn:
		return chosen, placement.Placed
	case <-timer.C:
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queue.Remove(w) {
		delete(t.waiting, w)
		return inventory.Upstream{}, placement.NoCapacity
	}
	return <-turn, placement.Placed // placed just now
}

// done gives an upstream back and places what waits.
func (t *turns) done(id string, o placement.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.table.Done(now, id, o)
	t.place(now)
}

// place gives room to waiting requests, in their order.
func (t *turns) place(now time.Time) {
	t.queue.RemoveFunc(func(w *admission.Waiter) bool {
		chosen, verdict := t.table.Pick(now, &w.Query)
		if verdict != placement.Placed {
			return false
		}
		t.waiting[w] <- chosen
		delete(t.waiting, w)
		return true
	})
}

// with runs f on the table and places what waits.
func (t *turns) with(f func(now time.Time, table *placement.Table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	f(now, t.table)
	t.place(now)
}
