package placement

import (
	"math"
	"time"
)

const (
	// maxSlownessAge is how long a reported slowness counts. It changes many times a second.
	maxSlownessAge = time.Second
	// minSlowness is the slowness from which an upstream is passed over at least: half as long again. Less than that
	// does not make up for the traffic of a request to another failure domain.
	minSlowness = 1.5
	// maxExplainedSlowness bounds how much of a response time the reported slowness explains. Without it, an upstream
	// that always reports a high one would never be degraded.
	maxExplainedSlowness = 4.0
	// usualSpread is the multiple of the average response time within which usual responses arrive.
	usualSpread = 2.0
)

// slowness is how long work takes on the machine of an upstream, as a multiple of the usual. The zero value is an
// upstream that reports none.
type slowness struct {
	reported float64
	at       time.Time
}

// record records a report; 0 is none. It reports whether the upstream may be passed over because of it.
func (s *slowness) record(now time.Time, reported float64) bool {
	if reported > 0 {
		s.reported, s.at = reported, now
	}
	return reported > minSlowness
}

// current returns the slowness expected now: the reported one at first, 1 a second later.
func (s *slowness) current(now time.Time) float64 {
	if s.reported == 0 {
		return 1
	}
	age := min(max(float64(now.Sub(s.at))/float64(maxSlownessAge), 0), 1)
	return s.reported + (1-s.reported)*age
}

// notable returns the slowness if the upstream is passed over because of it, otherwise 1. slack is the time left
// until the target of the request, as a multiple of its usual response time; 0 if that is unknown. A request that
// is likely to be in time even so stays where its object is.
func (s *slowness) notable(now time.Time, slack float64) float64 {
	if s.reported <= minSlowness {
		return 1
	}
	if current := s.current(now); current > math.Max(minSlowness, slack/usualSpread) {
		return current
	}
	return 1
}
