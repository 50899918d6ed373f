package gateway

import (
	"sync"

	"pistachiomount.example/pistachiomount/plan"
)

// trafficSplitter distributes the requests of split routes by weight. It uses smooth weighted round
// robin, so that the shares hold for few requests too.
type trafficSplitter struct {
	mu             sync.Mutex
	currentWeights map[string][]float64 // by route
}

func newTrafficSplitter() *trafficSplitter {
	return &trafficSplitter{currentWeights: map[string][]float64{}}
}

// choose returns the service that gets the next request of the route.
func (s *trafficSplitter) choose(r *plan.Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentWeights[r.Name]
	if len(current) != len(r.Split) {
		current = make([]float64, len(r.Split))
		s.currentWeights[r.Name] = current
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

// reset clears the state of all routes, for a new plan.
func (s *trafficSplitter) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.currentWeights)
}
