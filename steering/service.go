package steering

import (
	"sync/atomic"
	"time"
)

// service holds the state that the classes and pools of one service share.
type service struct {
	name      string
	pools     [MaxRegions]atomic.Pointer[Pool]
	suspended atomic.Uint32 // bit set of regions
	budget    RetryBudget
	regions   [MaxRegions]regionControl
}

func newService(name string) *service {
	s := &service{name: name}
	for i := range s.regions {
		s.regions[i].limit = 1
		s.regions[i].availability = 1
	}
	s.budget.reset()
	return s
}

// setSuspended sets or clears the region's bit in the set of suspended regions.
func (s *service) setSuspended(region int, on bool) {
	if on {
		s.suspended.Or(1 << region)
		return
	}
	s.suspended.And(^uint32(1 << region))
}

// tickPools advances the pools and updates the availability and load shedding of their regions.
func (s *service) tickPools(now, dt, step time.Duration) {
	for i := range s.pools {
		p := s.pools[i].Load()
		if p == nil {
			continue
		}
		p.tick(now, dt)
		s.regions[i].updateAvailability(p.usable(), step)
		s.regions[i].shedding = p.shedding(dt)
	}
	s.setServiceRate(s.rate())
}

// setServiceRate stores the request rate of the whole service in its pools.
func (s *service) setServiceRate(total float64) {
	for i := range s.pools {
		if p := s.pools[i].Load(); p != nil {
			p.mu.Lock()
			p.serviceRate = total
			p.mu.Unlock()
		}
	}
}
