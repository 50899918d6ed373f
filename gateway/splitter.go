package gateway

import (
	"sync"

	"pistachiomount.example/pistachiomount/plan"
)

// splitter distributes the requests of split routes by weight. It is a smooth
// weighted round robin, so that the shares hold for few requests too.
type splitter struct {
	mu      sync.Mutex
	current map[string][]float64 // by route
}

func newSplitter() *splitter { return &splitter{current: map[string][]float64{}} }

// choose returns the service that gets the next request of the route.
func (s *splitter) choose(r *plan.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current[r.Name]
	if len(current) != len(r.Split) {
		current = make([]float64, len(r.Split))
		s.current[r.Name] = current
	}
	total, best := 0.0, 0
	for i, part := range r.Split {
		total += part.Weight
		current[i] += part.Weight
		if current[i] > current[best] {
			best = i
		}
	}
	current[best] -= total
	return r.Split[best].Service
}

// reset forgets all routes, for a new plan.
func (s *splitter) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.current)
}
