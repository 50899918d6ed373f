package gateway

import (
	"context"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/announce"
	"pistachiomount.example/pistachiomount/gateway/admission"
	"pistachiomount.example/pistachiomount/gateway/placement"
	"pistachiomount.example/pistachiomount/inventory"
)

// permitQueue issues slot permits to the requests of one service. It combines the table of package
// placement with the queue of package admission and passes each chosen upstream to the waiting
// request.
type permitQueue struct {
	mu      sync.Mutex
	table   *placement.Table
	queue   admission.Queue
	waiting map[*admission.Waiter]*waitingRequest
}

// waitingRequest is a request in the queue.
type waitingRequest struct {
	permit chan inventory.Upstream
	// verdict is why it waits, as of the last selection.
	verdict placement.Verdict
}

func newPermitQueue(self placement.Location, shiftLimiter *placement.ShiftLimiter) *permitQueue {
	return &permitQueue{table: placement.NewTable(self, shiftLimiter), waiting: map[*admission.Waiter]*waitingRequest{}}
}

// acquire waits until the given time for an upstream with a free slot. The caller must release the
// upstream.
func (p *permitQueue) acquire(ctx context.Context, q placement.Query, until time.Time) (inventory.Upstream, placement.Verdict) {
	p.mu.Lock()
	now := time.Now()
	p.issuePermits(now) // so that no new request overtakes a waiting one
	chosen, verdict := p.table.Pick(now, &q)
	waits := verdict == placement.NoCapacity || verdict == placement.ShiftLimited || verdict == placement.AllPaused && p.table.EarliestReturn(now, &q).Before(until)
	if !waits || !now.Before(until) {
		p.mu.Unlock()
		return chosen, verdict
	}
	w := &admission.Waiter{Query: q, Arrived: now, Until: until}
	waiting := &waitingRequest{permit: make(chan inventory.Upstream, 1), verdict: verdict}
	p.queue.Add(w)
	p.waiting[w] = waiting
	p.mu.Unlock()
	return p.await(ctx, w, waiting)
}

func (p *permitQueue) await(ctx context.Context, w *admission.Waiter, waiting *waitingRequest) (inventory.Upstream, placement.Verdict) {
	timer := time.NewTimer(time.Until(w.Until))
	defer timer.Stop()
	select {
	case chosen := <-waiting.permit:
		return chosen, placement.Placed
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Remove(w) {
		delete(p.waiting, w)
		return inventory.Upstream{}, waiting.verdict
	}
	return <-waiting.permit, placement.Placed // the permit was issued at the same moment
}

// release returns the slot at an upstream and issues permits to waiting requests.
func (p *permitQueue) release(id string, o placement.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.table.Done(now, id, o)
	p.issuePermits(now)
}

// earliestReturn returns how long the upstreams of a request pause at least.
func (p *permitQueue) earliestReturn(q *placement.Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.table.EarliestReturn(now, q).Sub(now)
}

// recordAnnouncement records what a response says about its upstream. It reports what changed, and
// whether the upstream was limited before.
func (p *permitQueue) recordAnnouncement(id string, a announce.Announcement) (change announce.Change, limited bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limited = p.table.Limited(id)
	change = p.table.RecordAnnouncement(now, id, a)
	if change != announce.NoChange {
		p.issuePermits(now)
	}
	return change, limited
}

// issuePermits assigns free slots to waiting requests, in queue order.
func (p *permitQueue) issuePermits(now time.Time) {
	p.queue.RemoveFunc(func(w *admission.Waiter) bool {
		chosen, verdict := p.table.Pick(now, &w.Query)
		waiting := p.waiting[w]
		if verdict != placement.Placed {
			waiting.verdict = verdict
			return false
		}
		waiting.permit <- chosen
		delete(p.waiting, w)
		return true
	})
}

// withTable runs f on the table and then issues permits to waiting requests.
func (p *permitQueue) withTable(f func(now time.Time, table *placement.Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	f(now, p.table)
	p.issuePermits(now)
}
