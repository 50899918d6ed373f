package gateway

import "time"

// stopMargin is the multiple of a route's average response time that must be left of a planned stop for
// a request to be sent: slow responses take about that long.
const stopMargin = 1.5

// outlastsStop reports whether a planned stop is likely to end before a request that is sent now is
// answered. It would be cut, and could not be repeated if it is not idempotent, while other VMs can
// serve it in full.
func (r *routedRequest) outlastsStop(now time.Time) bool {
	stop := r.gateway.stopsAt.Load()
	if stop == 0 || r.sends > 0 {
		return false
	}
	expected := r.gateway.latencies.average(r.route.Name)
	if expected == 0 {
		expected = r.route.Target
	}
	return float64(stop-now.UnixNano()) < stopMargin*float64(expected)
}
