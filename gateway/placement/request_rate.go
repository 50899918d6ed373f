package placement

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the average rate of requests.
	rateTimeConstant = 4 * time.Second
	// sparseGaps is how many average gaps between requests must pass with at most sparseRequests requests
	// for the next one to count as sparse. At a constant rate, 14 in 1000 requests do.
	sparseGaps     = 8
	sparseRequests = 2
)

// requestRate follows the rate of requests, to tell when it has collapsed.
type requestRate struct {
	perSecond float64
	updatedAt time.Time
	// latest are the times of the latest requests, in a ring; next is the oldest of them.
	latest [sparseRequests + 1]time.Time
	next   int
}

// record counts a request.
func (r *requestRate) record(now time.Time) {
	r.perSecond = r.at(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
	r.latest[r.next] = now
	r.next = (r.next + 1) % len(r.latest)
}

// at returns the average rate as of now.
func (r *requestRate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/rateTimeConstant.Seconds())
}

// sparse reports whether far fewer requests have come lately than before.
func (r *requestRate) sparse(now time.Time) bool {
	oldest := r.latest[r.next]
	return !oldest.IsZero() && now.Sub(oldest).Seconds()*r.at(now) > sparseGaps
}
