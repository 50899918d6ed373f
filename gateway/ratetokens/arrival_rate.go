package ratetokens

import (
	"math"
	"time"
)

// arrivalRate is the moving average of requests per second.
type arrivalRate struct {
	perSecond float64
	updatedAt time.Time
}

// record counts a request.
func (r *arrivalRate) record(now time.Time) {
	r.perSecond = r.at(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// at returns the average as of now.
func (r *arrivalRate) at(now time.Time) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/rateTimeConstant.Seconds())
}
