package fairqueue

import (
	"slices"
	"testing"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

// stallSimulation replays requests of one customer against slots with a fixed service time. Slots
// are withheld during a stall, as when grants move between VMs.
type stallSimulation struct {
	clock    clock.Manual
	queue    *Queue[int]
	free     int
	withheld bool
	ends     []clock.Instant // completion times of the requests in service, in order
	rejected int
}

const (
	stallStep        = time.Millisecond
	stallServiceTime = 20 * time.Millisecond
	stallDeadline    = 2 * time.Second
)

func newStallSimulation(slots int) *stallSimulation {
	s := &stallSimulation{free: slots}
	s.queue = New(0, &s.clock, func() (int, bool) {
		if s.withheld || s.free == 0 {
			return 0, false
		}
		s.free--
		s.ends = append(s.ends, s.clock.Now().Add(stallServiceTime))
		return 0, true
	})
	return s
}

// run lets one request arrive per interval.
func (s *stallSimulation) run(d, interval time.Duration) {
	for at := time.Duration(0); at < d; at += stallStep {
		if at%interval == 0 {
			s.arrive()
		}
		s.clock.Advance(stallStep)
		now := s.clock.Now()
		s.ends = slices.DeleteFunc(s.ends, func(end clock.Instant) bool {
			over := !now.Before(end)
			if over {
				s.free++
			}
			return over
		})
		s.queue.Wake()
	}
}

func (s *stallSimulation) arrive() {
	r := Request{Customer: "a", Deadline: s.clock.Now().Add(stallDeadline)}
	if _, ok := s.queue.TryAcquire(r); ok {
		return
	}
	if _, err := s.queue.Enqueue(r); err != nil {
		s.rejected++
	}
}

// Guards against rejections for an expected wait that would not occur: all slots are withheld for
// less than a quarter of the deadline, and the requests that arrive meanwhile are served within
// 0.3 s afterwards.
func TestShortStallRejectsNothing(t *testing.T) {
	for _, before := range []time.Duration{0, time.Second} {
		s := newStallSimulation(3)
		s.run(before, 14*time.Millisecond)
		s.withheld = true
		s.run(450*time.Millisecond, 14*time.Millisecond)
		s.withheld = false
		s.run(2*time.Second, 14*time.Millisecond)
		if s.rejected > 0 {
			t.Errorf("%d requests rejected by a stall %v after the start", s.rejected, before)
		}
	}
}

// Guards against requests that wait until their deadline for a service that assigns no slots
// anymore.
func TestLongStallRejectsOnArrival(t *testing.T) {
	s := newStallSimulation(3)
	s.run(time.Second, 14*time.Millisecond)
	s.withheld = true
	s.run(stallDeadline, 100*time.Millisecond)
	before := s.rejected
	s.arrive()
	if s.rejected != before+1 {
		t.Errorf("a request was queued %v after the last slot, with a deadline of %v", stallDeadline, stallDeadline)
	}
}
