package entry

import (
	"context"
	"sync/atomic"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/fairqueue"
)

// servicePermits issues as many permits for a service as this daemon holds slots at
// the service's upstreams.
type servicePermits struct {
	grants       *grants
	queue        *fairqueue.Queue[struct{}]
	upstreams    atomic.Pointer[[]string]
	capacity     atomic.Int64
	inUse        atomic.Int64
	slotRequests atomic.Uint64
	// waiters counts requests in the queue or about to enter it, so that release locks
	// the queue only if a request waits.
	waiters atomic.Int64
}

func newServicePermits(c clock.Clock, g *grants) *servicePermits {
	s := &servicePermits{grants: g}
	s.upstreams.Store(&[]string{})
	s.queue = fairqueue.New(fairqueue.DefaultPerCustomer, c, s.acquire)
	return s
}

// acquire takes a permit. If there is none, it asks for more slots.
func (s *servicePermits) acquire() (struct{}, bool) {
	for {
		n := s.inUse.Load()
		if n >= s.capacity.Load() {
			s.requestSlots()
			return struct{}{}, false
		}
		if s.inUse.CompareAndSwap(n, n+1) {
			return struct{}{}, true
		}
	}
}

// requestSlots makes the holder ask for more slots, at one upstream per call in
// rotation.
func (s *servicePermits) requestSlots() {
	ids := *s.upstreams.Load()
	if len(ids) == 0 {
		return
	}
	units := s.grants.slot(ids[s.slotRequests.Add(1)%uint64(len(ids))])
	if units.TryAcquire() {
		units.Release()
	}
}

// wait queues for a permit. It increments waiters before the queue looks for a free
// permit, and release frees a permit before it reads waiters, so no wake-up is lost.
func (s *servicePermits) wait(ctx context.Context, request fairqueue.Request) error {
	s.waiters.Add(1)
	defer s.waiters.Add(-1)
	ticket, err := s.queue.Enqueue(request)
	if err != nil {
		return err
	}
	_, err = ticket.Wait(ctx)
	return err
}

func (s *servicePermits) release() {
	s.inUse.Add(-1)
	if s.waiters.Load() > 0 {
		s.queue.Wake()
	}
}

func (s *servicePermits) spare() int {
	if s.queue.Waiting() > 0 {
		return 0
	}
	return int(s.capacity.Load() - s.inUse.Load())
}

func (s *servicePermits) setUpstreams(ids []string) {
	s.upstreams.Store(&ids)
	s.refresh()
}

// refresh sets the capacity to the slots granted at present and wakes waiters.
func (s *servicePermits) refresh() {
	total := int64(0)
	for _, id := range *s.upstreams.Load() {
		_, granted := s.grants.slot(id).InUse()
		total += int64(granted)
	}
	s.capacity.Store(total)
	s.queue.Expire()
	s.queue.Wake()
}
