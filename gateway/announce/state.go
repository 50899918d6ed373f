package announce

import "time"

// limitEndDelay is how long after the last response with a limit one without ends the limit. Responses
// on several connections may overtake each other.
const limitEndDelay = time.Second

// State is what one upstream has announced to this VM. Its zero value is an upstream that has announced
// nothing. It is not safe for concurrent use.
type State struct {
	limited   bool
	rateLimit float64
	// limitedAt is when a response last named the limit.
	limitedAt time.Time
}

// Record updates the state with a response.
func (s *State) Record(now time.Time, a Announcement) Change {
	switch {
	case !a.Heard || a.Invalid != "":
		return NoChange
	case a.Limited:
		began := !s.limited
		s.limited, s.rateLimit, s.limitedAt = true, a.RateLimit, now
		if began {
			return LimitBegan
		}
	case s.limited && now.Sub(s.limitedAt) >= limitEndDelay:
		s.limited = false
		return LimitEnded
	}
	return NoChange
}

// RateLimit returns the limit in requests per second; limited is false if there is none.
func (s *State) RateLimit() (limit float64, limited bool) { return s.rateLimit, s.limited }

// Age returns the time since a response last named the limit.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.limitedAt) }
