package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/fairqueue"
	"pistachiomount.example/pistachiomount/forward"
)

// permitQueue keeps a fair queue for each service in front of the upstream slots
// that are granted to this daemon.
type permitQueue struct {
	clock   clock.Clock
	grants  *grants
	weights func(customer string) float64
	// onPermitRequested is called once for each request that asks for a permit.
	onPermitRequested func(service string)

	services cowMap[string, *servicePermits]
}

func newPermitQueue(c clock.Clock, g *grants, weights func(string) float64, onPermitRequested func(string)) *permitQueue {
	return &permitQueue{clock: c, grants: g, weights: weights, onPermitRequested: onPermitRequested}
}

func (q *permitQueue) service(name string) *servicePermits {
	return q.services.loadOrCreate(name, func(string) *servicePermits { return newServicePermits(q.clock, q.grants) })
}

// each calls f for every service.
func (q *permitQueue) each(f func(name string, s *servicePermits)) {
	for _, name := range q.services.keys() {
		if s, ok := q.services.load(name); ok {
			f(name, s)
		}
	}
}

// setUpstreams replaces the upstreams of every service. Services that are missing
// from byService get none.
func (q *permitQueue) setUpstreams(byService map[string][]string) {
	for name, ids := range byService {
		q.service(name).setUpstreams(ids)
	}
	q.each(func(name string, s *servicePermits) {
		if _, ok := byService[name]; !ok {
			s.setUpstreams(nil)
		}
	})
}

// refresh applies changed grants and drops requests whose deadline has passed.
func (q *permitQueue) refresh() {
	q.each(func(_ string, s *servicePermits) { s.refresh() })
}

// Acquire waits for a permit for a request of the customer.
func (q *permitQueue) Acquire(ctx context.Context, service, customer string) error {
	q.onPermitRequested(service)
	s := q.service(service)
	request := fairqueue.Request{Customer: customer, Weight: q.weights(customer), Deadline: q.deadline(ctx)}
	if _, ok := s.queue.TryAcquire(request); ok {
		return nil
	}
	if s.capacity.Load() > 0 {
		return q.translateError(ctx, s.wait(ctx, request))
	}
	return q.waitForSlots(ctx, s, request)
}

// waitForSlots waits at a VM that holds no slot, for as long as a renewal takes to
// obtain some. A VM that is partitioned from the control VMs gets none, and its callers
// can still use another VM.
func (q *permitQueue) waitForSlots(ctx context.Context, s *servicePermits, request fairqueue.Request) error {
	slotsCtx, cancel := context.WithTimeout(ctx, maxSlotWait)
	defer cancel()
	err := q.translateError(slotsCtx, s.wait(slotsCtx, request))
	if err != nil && ctx.Err() == nil && slotsCtx.Err() != nil {
		return forward.ErrNoSlots
	}
	return err
}

// Release returns a permit.
func (q *permitQueue) Release(service, _ string) {
	q.service(service).release()
}

// spare returns the number of free permits of the service, or 0 if requests wait.
func (q *permitQueue) spare(service string) int {
	return q.service(service).spare()
}

// empty reports whether this daemon holds no slot at all.
func (q *permitQueue) empty() bool {
	_, capacity := q.usage()
	return capacity == 0
}

// load returns the fraction of the permits that is in use, over all services.
func (q *permitQueue) load() float64 {
	inUse, capacity := q.usage()
	if capacity == 0 {
		return 0
	}
	return min(1, float64(inUse)/float64(capacity))
}

// usage returns the permits in use and their limit, over all services.
func (q *permitQueue) usage() (inUse, capacity int64) {
	q.each(func(_ string, s *servicePermits) {
		inUse += s.inUse.Load()
		capacity += s.capacity.Load()
	})
	return inUse, capacity
}

func (q *permitQueue) deadline(ctx context.Context) clock.Instant {
	now := q.clock.Now()
	if deadline, ok := ctx.Deadline(); ok {
		return now.Add(time.Until(deadline))
	}
	return now.Add(time.Hour)
}

// translateError maps a rejection by the queue to an error of package forward.
func (q *permitQueue) translateError(ctx context.Context, err error) error {
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
