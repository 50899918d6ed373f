package ratetokens

import "time"

const (
	// Cover is the time whose expected requests the stock covers.
	Cover = 400 * time.Millisecond
	// Lifetime is how long a token may be kept. It bounds by how much the requests of a window can exceed the
	// rate: a token may have been taken this long before the window.
	Lifetime = 500 * time.Millisecond
	// rateTimeConstant is the time constant of the average rate of requests.
	rateTimeConstant = time.Second
	// minDenial and maxDenial bound how long requests are rejected without a call after the owner had no token.
	minDenial = 20 * time.Millisecond
	maxDenial = 100 * time.Millisecond
)
