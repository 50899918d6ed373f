package entry

import (
	"context"
	"sync/atomic"

	"pistachiomount.example/pistachiomount/clock"
	"pistachiomount.example/pistachiomount/fairqueue"
)

// servicePermits hands out as many turns as this daemon holds slots of a service.
type servicePermits struct {
	grants       *grants
	queue        *fairqueue.Queue[struct{}]
	upstreams    atomic.Pointer[[]string]
	capacity     atomic.Int64
	inUse        atomic.Int64
	slotRequests atomic.Uint64
	// waiters counts requests in the queue or about to enter it, so that the end
	// of a turn takes the lock of the queue only when someone waits.
	waiters atomic.Int64
}

func newServicePermits(c clock.Clock, g *grants) *servicePermits {
	s := &servicePermits{grants: g}
	s.upstreams.Store(&[]string{})
	s.queue = fairqueue.New(fairqueue.DefaultPerCustomer, c, s.acquire)
	return s
}

// acquire takes a turn. Without one it tells the holder that more slots are
// wanted, at each upstream in turn.
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

// wait queues for a turn. The counter rises before the queue looks for a free
// turn, and release frees a turn before it reads the counter, so no wake is lost.
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

// refresh counts the slots granted at present.
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
