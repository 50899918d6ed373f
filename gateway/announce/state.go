package announce

import (
	"math"
	"time"
)

const (
	// limitEndDelay is how long after the last response with a limit one without ends the limit. Responses
	// on several connections may overtake each other.
	limitEndDelay = time.Second
	// recoveryTime is how long an upstream whose limit has ended gets a growing rate of requests, and
	// recoveryDoubling how often the rate doubles meanwhile. An upstream that names its limit again finds
	// the VMs near it.
	recoveryTime     = 4 * time.Second
	recoveryDoubling = time.Second
	// minRecoveryRate is the rate, in requests per second, at which a recovery starts at least.
	minRecoveryRate = 1.0
)

// State is what one upstream has announced to this VM. Its zero value is an upstream that has announced
// nothing. It is not safe for concurrent use.
type State struct {
	limited   bool
	rateLimit float64
	// limitedAt is when a response last named the limit.
	limitedAt time.Time
	// endedAt is when the limit ended.
	endedAt time.Time
	// leavingSince is when a response first said that the upstream leaves; zero if none has. It holds for
	// the run of the upstream: a later response that does not say so changes nothing, since an upstream
	// that leaves never takes that back.
	leavingSince time.Time
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
}

// Record updates the state with a response. If several things change, it returns the one that weighs
// most.
func (s *State) Record(now time.Time, a Announcement) Change {
	if !a.Heard {
		return NoChange
	}
	change := s.recordLimit(now, a)
	if until := now.Add(a.Pause); a.Pause > 0 && until.After(s.pausedUntil) {
		if !s.Paused(now) {
			change = PauseBegan
		}
		s.pausedUntil = until // an earlier, longer pause stays in force
	}
	if a.Pause == 0 && !s.pausedUntil.IsZero() && !s.Paused(now) {
		s.pausedUntil = time.Time{}
		change = PauseEnded
	}
	if a.Leaving && s.leavingSince.IsZero() {
		s.leavingSince = now
		change = LeavingBegan
	}
	return change
}

func (s *State) recordLimit(now time.Time, a Announcement) Change {
	switch {
	case a.Limited:
		began := !s.limited
		s.limited, s.rateLimit, s.limitedAt = true, a.RateLimit, now
		if began {
			return LimitBegan
		}
	case s.limited && a.Invalid == "" && now.Sub(s.limitedAt) >= limitEndDelay:
		s.limited, s.endedAt = false, now
		return LimitEnded
	}
	return NoChange
}

// Limited reports whether responses name a limit.
func (s *State) Limited() bool { return s.limited }

// RateLimit returns the requests per second that the upstream may receive from all VMs together: its
// limit, or a growing multiple while it recovers. bounded is false if there is no limit.
func (s *State) RateLimit(now time.Time) (rate float64, bounded bool) {
	if s.limited {
		return s.rateLimit, true
	}
	if s.endedAt.IsZero() {
		return 0, false
	}
	recovering := now.Sub(s.endedAt)
	if recovering >= recoveryTime {
		return 0, false
	}
	return math.Max(s.rateLimit, minRecoveryRate) * math.Exp2(float64(recovering)/float64(recoveryDoubling)), true
}

// Leaving reports whether the upstream has said that it leaves.
func (s *State) Leaving() bool { return !s.leavingSince.IsZero() }

// Paused reports whether the upstream wants no requests from this VM now.
func (s *State) Paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// PausedUntil returns the end of the latest pause.
func (s *State) PausedUntil() time.Time { return s.pausedUntil }

// Settled reports whether nothing that the upstream has announced is in force any more.
func (s *State) Settled(now time.Time) bool {
	_, bounded := s.RateLimit(now)
	return !bounded && !s.Leaving() && s.pausedUntil.IsZero()
}
