package admission

import "time"

// Streaming is what decides whether the beginning of a long response is sent to the caller before its end has
// arrived. It addresses long responses on slow links, where reading a body and then sending it takes twice the
// time of the transfer.
type Streaming struct {
	// Repeatable: the request may be sent again after a truncated response.
	Repeatable bool
	// AttemptsLeft: the route allows another attempt.
	AttemptsLeft bool
	// Target is when the caller needs the response.
	Target time.Time
	// AverageResponse is the average response time of the route, 0 if unknown.
	AverageResponse time.Duration
}

// Allowed reports whether no further attempt could be in time at the given moment, so that what was read of
// the response need not be held back for one.
func (s Streaming) Allowed(now time.Time) bool {
	return !s.Repeatable || !s.AttemptsLeft || s.Target.Sub(now) < s.AverageResponse
}
