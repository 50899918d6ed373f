package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/fairqueue"
	"pistachiomount.example/pistachiomount/forward"
)

// turnQueue keeps a fair queue for each service in front of the slots that this
// daemon holds.
type turnQueue struct {
	clock   clock.Clock
	grants  *grants
	weights func(customer string) float64
	// onTurn is called once for each request that asks for a turn.
	onTurn func(service string)

	services cowMap[string, *serviceTurns]
}

func newTurnQueue(c clock.Clock, g *grants, weights func(string) float64, onTurn func(string)) *turnQueue {
	return &turnQueue{clock: c, grants: g, weights: weights, onTurn: onTurn}
}

func (q *turnQueue) service(name string) *serviceTurns {
	return q.services.loadOrMake(name, func(string) *serviceTurns { return newServiceTurns(q.clock, q.grants) })
}

// each calls the function for every service.
func (q *turnQueue) each(f func(name string, s *serviceTurns)) {
	for _, name := range q.services.keys() {
		if s, ok := q.services.load(name); ok {
			f(name, s)
		}
	}
}

// setUpstreams tells which upstreams serve a service.
func (q *turnQueue) setUpstreams(byService map[string][]string) {
	for name, ids := range byService {
		q.service(name).setUpstreams(ids)
	}
	q.each(func(name string, s *serviceTurns) {
		if _, ok := byService[name]; !ok {
			s.setUpstreams(nil)
		}
	})
}

// refresh takes in changed grants and drops requests whose deadline passed.
func (q *turnQueue) refresh() {
	q.each(func(_ string, s *serviceTurns) { s.refresh() })
}

// Acquire waits for the customer's turn.
func (q *turnQueue) Acquire(ctx context.Context, service, customer string) error {
	q.onTurn(service)
	s := q.service(service)
	request := fairqueue.Request{Customer: customer, Weight: q.weights(customer), Deadline: q.deadline(ctx)}
	if _, ok := s.queue.TryAcquire(request); ok {
		return nil
	}
	if s.capacity.Load() > 0 {
		return q.translate(ctx, s.wait(ctx, request))
	}
	return q.awaitSlots(ctx, s, request)
}

// awaitSlots waits at a VM that holds no slot, for as long as a renewal takes to bring
// some. A VM that is cut off from the control VMs gets none, and its callers can still
// go to another one.
func (q *turnQueue) awaitSlots(ctx context.Context, s *serviceTurns, request fairqueue.Request) error {
	slotsCtx, cancel := context.WithTimeout(ctx, slotsWait)
	defer cancel()
	err := q.translate(slotsCtx, s.wait(slotsCtx, request))
	if err != nil && ctx.Err() == nil && slotsCtx.Err() != nil {
		return forward.ErrNoSlots
	}
	return err
}

// Release ends a turn.
func (q *turnQueue) Release(service, _ string) {
	q.service(service).release()
}

// spare returns how many turns of the service are free while nobody waits.
func (q *turnQueue) spare(service string) int {
	return q.service(service).spare()
}

// empty reports whether this daemon holds no slot at all.
func (q *turnQueue) empty() bool {
	_, capacity := q.usage()
	return capacity == 0
}

// load returns the share of the turns that is in use, over all services.
func (q *turnQueue) load() float64 {
	inUse, capacity := q.usage()
	if capacity == 0 {
		return 0
	}
	return min(1, float64(inUse)/float64(capacity))
}

func (q *turnQueue) usage() (inUse, capacity int64) {
	q.each(func(_ string, s *serviceTurns) {
		inUse += s.inUse.Load()
		capacity += s.capacity.Load()
	})
	return inUse, capacity
}

func (q *turnQueue) deadline(ctx context.Context) clock.Instant {
	now := q.clock.Now()
	if deadline, ok := ctx.Deadline(); ok {
		return now.Add(time.Until(deadline))
	}
	return now.Add(time.Hour)
}

func (q *turnQueue) translate(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	var rejection *fairqueue.Rejection
	if !errors.As(err, &rejection) {
		return errors.Trace(err)
	}
	switch rejection.Reason {
	case fairqueue.ReasonQueueFull:
		return forward.ErrQueueFull
	case fairqueue.ReasonExpectedWait:
		return forward.ErrQueueTooLong
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return context.DeadlineExceeded
}
