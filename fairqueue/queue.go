package fairqueue

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// DefaultPerCustomer bounds the waiting requests of one customer.
const DefaultPerCustomer = 64

// burstCredit is the number of requests by which a customer that used less than its share may
// exceed it later. Without it, random bursts of a customer at 0.9 of its share wait behind a
// customer that always has requests waiting, and 0.3% of them miss a deadline of 500 ms.
const burstCredit = 8

// Request describes a request that needs a slot.
type Request struct {
	Customer string
	// Weight is the customer's weight; 0 means 1.
	Weight float64
	// Cost is the share of the service that the request takes, for example its
	// expected time in a slot; 0 means 1. All requests use the same unit.
	Cost     float64
	Deadline clock.Instant
}

// Queue assigns slots of type S to requests. It is safe for concurrent use. It retains a few words
// of memory for each customer that it has seen.
type Queue[S any] struct {
	perCustomer int
	clock       clock.Clock
	acquire     func() (S, bool)

	mu        sync.Mutex
	flows     map[string]*flow[S]
	active    flowHeap[S]
	virtual   float64 // virtual start time of the request served last
	waiting   int
	arrived   uint64
	estimator waitEstimator
}

// New returns an empty queue. acquire takes a free slot; it is called with the queue's lock held
// and must neither block nor call the queue. At most perCustomer requests of a customer wait; 0
// means DefaultPerCustomer.
func New[S any](perCustomer int, c clock.Clock, acquire func() (S, bool)) *Queue[S] {
	if perCustomer <= 0 {
		perCustomer = DefaultPerCustomer
	}
	return &Queue[S]{perCustomer: perCustomer, clock: c, acquire: acquire, flows: map[string]*flow[S]{}}
}

// TryAcquire takes a slot if one is free and no request waits. It does not allocate for a customer
// seen before.
func (q *Queue[S]) TryAcquire(r Request) (slot S, ok bool) {
	r = r.normalized()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting > 0 {
		return slot, false
	}
	if slot, ok = q.acquire(); ok {
		f := q.flowOf(r)
		f.start = q.startOf(f, r.Cost)
		q.charge(f, r.Cost)
	}
	return slot, ok
}

// Enqueue adds a request to the queue and assigns free slots. The error is a *Rejection.
func (q *Queue[S]) Enqueue(r Request) (*Ticket[S], error) {
	r = r.normalized()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	f := q.flowOf(r)
	if err := q.check(f, r, now); err != nil {
		return nil, err
	}
	t := &Ticket[S]{queue: q, flow: f, request: r, done: make(chan struct{})}
	q.add(f, t, now)
	q.serve(now)
	return t, nil
}

// Wake assigns the free slots and drops requests at the head of the queue whose deadline has
// passed. It must be called whenever a slot may have become free.
func (q *Queue[S]) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting > 0 {
		q.serve(q.clock.Now())
	}
}

// Expire drops all requests whose deadline has passed. It should be called periodically, since Wake
// examines only the requests that are next.
func (q *Queue[S]) Expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	for _, f := range q.flows {
		q.expireFlow(f, now)
	}
}

// Waiting returns the number of waiting requests.
func (q *Queue[S]) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// normalized replaces missing and invalid weights and costs by 1.
func (r Request) normalized() Request {
	if !(r.Weight > 0) {
		r.Weight = 1
	}
	if !(r.Cost > 0) {
		r.Cost = 1
	}
	return r
}

// flowOf returns the flow of the request's customer, which it creates if needed.
func (q *Queue[S]) flowOf(r Request) *flow[S] {
	f := q.flows[r.Customer]
	if f == nil {
		f = &flow[S]{finish: math.Inf(-1)}
		q.flows[r.Customer] = f
	}
	f.weight = r.Weight
	return f
}

// check returns a *Rejection if the queue does not accept a request.
func (q *Queue[S]) check(f *flow[S], r Request, now clock.Instant) error {
	if !now.Before(r.Deadline) {
		return &Rejection{Reason: ReasonDeadline}
	}
	if f.length >= q.perCustomer {
		q.expireFlow(f, now)
	}
	wait := q.expectedWait(f, r, now)
	switch {
	case f.length >= q.perCustomer:
		return &Rejection{Reason: ReasonQueueFull, RetryAfter: wait}
	case q.waiting > 0 && !now.Add(wait).Before(r.Deadline):
		// The first request may always wait, since the estimate improves only
		// with slots assigned to waiting requests.
		return &Rejection{Reason: ReasonExpectedWait, RetryAfter: wait}
	}
	return nil
}

// expectedWait estimates the wait of a request that joins f now.
func (q *Queue[S]) expectedWait(f *flow[S], r Request, now clock.Instant) time.Duration {
	if q.waiting == 0 {
		return 0
	}
	start := q.startOf(f, r.Cost)
	if f.length > 0 {
		start = f.start + f.cost/f.weight
	}
	ahead := f.length
	for _, other := range q.active {
		if other != f {
			ahead += other.servedBefore(start)
		}
	}
	return q.estimator.estimate(now, ahead)
}

func (q *Queue[S]) add(f *flow[S], t *Ticket[S], now clock.Instant) {
	f.push(t)
	q.waiting++
	q.estimator.startBacklog(now)
	if f.length > 1 {
		return
	}
	q.arrived++
	f.start, f.order = q.startOf(f, t.request.Cost), q.arrived
	heap.Push(&q.active, f)
}

// serve assigns slots in fair order until no slot is free or no request waits.
func (q *Queue[S]) serve(now clock.Instant) {
	for len(q.active) > 0 {
		f := q.active[0]
		q.expireHead(f, now)
		if f.length == 0 {
			heap.Pop(&q.active)
			continue
		}
		slot, ok := q.acquire()
		if !ok {
			return
		}
		t := f.first
		q.drop(f, t)
		q.estimator.recordSlot(now, q.waiting)
		q.charge(f, t.request.Cost)
		if f.length == 0 {
			heap.Pop(&q.active)
		} else {
			heap.Fix(&q.active, 0)
		}
		t.settle(slot, nil)
	}
}

// startOf returns the virtual start time of a request that joins the idle flow f.
func (q *Queue[S]) startOf(f *flow[S], cost float64) float64 {
	return max(q.virtual-burstCredit*cost/f.weight, f.finish)
}

// charge accounts for a request of f that starts now.
func (q *Queue[S]) charge(f *flow[S], cost float64) {
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + cost/f.weight
	f.start = f.finish
}

func (q *Queue[S]) drop(f *flow[S], t *Ticket[S]) {
	f.remove(t)
	q.waiting--
	if q.waiting == 0 {
		q.estimator.backlog = false
	}
}

// expireHead drops tickets at the head of f whose deadline has passed.
func (q *Queue[S]) expireHead(f *flow[S], now clock.Instant) {
	for t := f.first; t != nil && !now.Before(t.request.Deadline); t = f.first {
		q.reject(f, t, ReasonDeadline)
	}
}

// expireFlow drops all tickets of f whose deadline has passed.
func (q *Queue[S]) expireFlow(f *flow[S], now clock.Instant) {
	before := f.length
	for t := f.first; t != nil; {
		next := t.next
		if !now.Before(t.request.Deadline) {
			q.reject(f, t, ReasonDeadline)
		}
		t = next
	}
	q.deactivate(f, before)
}

// deactivate removes f from the heap if its last ticket was dropped.
func (q *Queue[S]) deactivate(f *flow[S], before int) {
	if before > 0 && f.length == 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
}

func (q *Queue[S]) reject(f *flow[S], t *Ticket[S], reason Reason) {
	q.drop(f, t)
	var none S
	t.settle(none, &Rejection{Reason: reason})
}

func (q *Queue[S]) cancel(t *Ticket[S]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t.settled {
		return
	}
	before := t.flow.length
	q.reject(t.flow, t, ReasonCanceled)
	q.deactivate(t.flow, before)
}
