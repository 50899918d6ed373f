package demand

import "math"

// Report is what the callers of one VM ask of one service.
type Report struct {
	Service string
	// Rate is the number of requests per second.
	Rate float64
	// Running is the number of requests at upstreams.
	Running float64
	// Sketch counts the distinct objects among the last Requests requests on objects.
	Sketch   []byte
	Requests int
	// Bound is the part of Rate that may run in one region only, by region.
	Bound map[string]float64
}

// valid reports whether all numbers are finite and not negative. One that is not would spread to the
// totals of all VMs.
func (r *Report) valid() bool {
	for _, rate := range r.Bound {
		if !isRate(rate) {
			return false
		}
	}
	return isRate(r.Rate) && isRate(r.Running) && r.Requests >= 0
}

func isRate(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
