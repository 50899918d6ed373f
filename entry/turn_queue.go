package entry

import (
	"context"
	"sync"
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

	mu       sync.Mutex
	services map[string]*serviceTurns
}

func newTurnQueue(c clock.Clock, g *grants, weights func(string) float64, onTurn func(string)) *turnQueue {
	return &turnQueue{clock: c, grants: g, weights: weights, onTurn: onTurn, services: map[string]*serviceTurns{}}
}

func (q *turnQueue) service(name string) *serviceTurns {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[name]
	if s == nil {
		s = newServiceTurns(q.clock, q.grants)
		q.services[name] = s
	}
	return s
}

// setUpstreams tells which upstreams serve a service.
func (q *turnQueue) setUpstreams(byService map[string][]string) {
	for name, ids := range byService {
		q.service(name).setUpstreams(ids)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, s := range q.services {
		if _, ok := byService[name]; !ok {
			s.setUpstreams(nil)
		}
	}
}

// refresh takes in changed grants and drops requests whose deadline passed.
func (q *turnQueue) refresh() {
	q.mu.Lock()
	services := make([]*serviceTurns, 0, len(q.services))
	for _, s := range q.services {
		services = append(services, s)
	}
	q.mu.Unlock()
	for _, s := range services {
		s.refresh()
	}
}

// Acquire waits for the customer's turn.
func (q *turnQueue) Acquire(ctx context.Context, service, customer string) error {
	q.onTurn(service)
	s := q.service(service)
	request := fairqueue.Request{Customer: customer, Weight: q.weights(customer), Deadline: q.deadline(ctx)}
	if _, ok := s.queue.TryAcquire(request); ok {
		return nil
	}
	ticket, err := s.queue.Enqueue(request)
	if err == nil {
		_, err = ticket.Wait(ctx)
	}
	return q.translate(ctx, err)
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
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.services {
		if s.capacity.Load() > 0 {
			return false
		}
	}
	return true
}

// load returns the share of the turns that is in use, over all services.
func (q *turnQueue) load() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	inUse, capacity := int64(0), int64(0)
	for _, s := range q.services {
		inUse += s.inUse.Load()
		capacity += s.capacity.Load()
	}
	if capacity == 0 {
		return 0
	}
	return min(1, float64(inUse)/float64(capacity))
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
