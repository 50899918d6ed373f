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
	// endedReportTime is how long the end of a limit is reported to other VMs.
	endedReportTime = 10 * time.Second
)

// State is what one upstream has announced to this VM, and to others. Its zero value is an upstream that
// has announced nothing. It is not safe for concurrent use.
//
// Leaving holds for the run of the upstream: a later response that does not say so changes nothing, since
// an upstream that leaves never takes that back.
type State struct {
	// own is what this VM has heard, and others what the VMs have heard together by the latest message. Only
	// own is passed on: what came back through others would never end, and each way adds to its times.
	own, others Notice
	// known is both merged.
	known Notice
	// endedAt is when this VM noted the end of the limit, and endedRate what it was.
	endedAt   time.Time
	endedRate float64
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
}

// Record updates the state with a response. If several things change, it returns the one that weighs
// most.
func (s *State) Record(now time.Time, a Announcement) Change {
	if !a.Heard {
		return NoChange
	}
	switch {
	case a.Limited:
		s.own.LimitedAt, s.own.RateLimit = now, a.RateLimit
	case a.Invalid == "":
		s.own.UnlimitedAt = now
	}
	if a.Leaving && s.own.LeavingSince.IsZero() {
		s.own.LeavingSince = now
	}
	change := s.update(now)
	if pauseChange := s.recordPause(now, a.Pause); pauseChange != NoChange && change != LeavingBegan {
		change = pauseChange
	}
	return change
}

// SetOthers replaces what other VMs have heard.
func (s *State) SetOthers(now time.Time, n Notice) Change {
	s.others = n
	return s.update(now)
}

// update merges what this VM and others have heard.
func (s *State) update(now time.Time) Change {
	limited, leaving, rate := s.Limited(), s.Leaving(), s.known.RateLimit
	s.known = s.own.Merge(s.others)
	change := NoChange
	switch {
	case s.Limited() && !limited:
		change = LimitBegan
	case !s.Limited() && limited:
		// Once others no longer report the end, what this VM has heard before must not count again.
		s.endedAt, s.endedRate = now, rate
		s.own.LimitedAt, s.own.RateLimit = time.Time{}, 0
		change = LimitEnded
	}
	switch {
	case s.Leaving() && !leaving:
		change = LeavingBegan
	case !s.Leaving() && leaving:
		change = LeavingEnded
	}
	return change
}

func (s *State) recordPause(now time.Time, pause time.Duration) Change {
	switch until := now.Add(pause); {
	case pause > 0 && until.After(s.pausedUntil):
		began := !s.Paused(now)
		s.pausedUntil = until // an earlier, longer pause would stay in force
		if began {
			return PauseBegan
		}
	case pause == 0 && !s.pausedUntil.IsZero() && !s.Paused(now):
		s.pausedUntil = time.Time{}
		return PauseEnded
	}
	return NoChange
}

// Notice returns what other VMs should know; ok is false if there is nothing.
func (s *State) Notice(now time.Time, upstream string) (n Notice, ok bool) {
	n = s.own
	n.Upstream = upstream
	return n, n.InForce() || s.Limited() || !s.endedAt.IsZero() && now.Sub(s.endedAt) < endedReportTime
}

// Limited reports whether responses name a limit.
func (s *State) Limited() bool { return s.known.limited() }

// RateLimit returns the requests per second that the upstream may receive from all VMs together: its
// limit, or a growing multiple while it recovers. bounded is false if there is no limit.
func (s *State) RateLimit(now time.Time) (rate float64, bounded bool) {
	if s.Limited() {
		return s.known.RateLimit, true
	}
	if s.endedAt.IsZero() {
		return 0, false
	}
	recovering := now.Sub(s.endedAt)
	if recovering >= recoveryTime {
		return 0, false
	}
	return math.Max(s.endedRate, minRecoveryRate) * math.Exp2(float64(recovering)/float64(recoveryDoubling)), true
}

// Leaving reports whether the upstream has said that it leaves.
func (s *State) Leaving() bool { return !s.known.LeavingSince.IsZero() }

// Paused reports whether the upstream wants no requests from this VM now.
func (s *State) Paused(now time.Time) bool { return now.Before(s.pausedUntil) }

// PausedUntil returns the end of the latest pause.
func (s *State) PausedUntil() time.Time { return s.pausedUntil }

// Settled reports whether nothing that the upstream has announced is in force or worth reporting any
// more.
func (s *State) Settled(now time.Time) bool {
	_, reported := s.Notice(now, "")
	return !reported && !s.Leaving() && s.pausedUntil.IsZero()
}
