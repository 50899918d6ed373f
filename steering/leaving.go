package steering

import "time"

// leavingSignal is the first signal that an upstream is leaving.
type leavingSignal uint8

const (
	notLeaving leavingSignal = iota
	leavingByPlatform
	leavingInBand
	leavingRefused
)

const (
	// refusedAfterClose is the longest time between the close of an idle connection and a
	// refused connection at which both together mean that the upstream is leaving. A
	// refused connection alone is a failure.
	refusedAfterClose = 5 * time.Second
	// leavingReturnDelay is the time after which an upstream that the platform never
	// listed as leaving may return by a successful probe. The platform's list lags, so
	// until then its entry is no evidence.
	leavingReturnDelay = 60 * time.Second
	// probeInterval is the time between probes of one upstream.
	probeInterval = 10 * time.Second
)

// leaving records whether and why an upstream gets no new requests. Pool.mu guards it.
type leaving struct {
	signal    leavingSignal
	since     time.Duration
	confirmed bool // the platform has listed it as leaving
	nextProbe time.Duration

	idleClosed   bool // the upstream closed an idle connection
	idleClosedAt time.Duration
}

func (l *leaving) active() bool { return l.signal != notLeaving }

func (l *leaving) begin(s leavingSignal, now time.Duration) {
	if l.active() {
		return
	}
	l.signal, l.since = s, now
	l.nextProbe = now + leavingReturnDelay
}

// applyListedState applies the state in the platform's list and reports whether the
// upstream returns.
func (l *leaving) applyListedState(state UpstreamState, now time.Duration) bool {
	if state == UpstreamLeaving {
		l.begin(leavingByPlatform, now)
		l.confirmed = true
		return false
	}
	if l.active() && l.confirmed {
		*l = leaving{}
		return true
	}
	return false
}

// refusalMeansLeaving reports whether a refused connection now is a sign of leaving.
func (l *leaving) refusalMeansLeaving(now time.Duration) bool {
	return l.idleClosed && now-l.idleClosedAt <= refusedAfterClose
}

func (l *leaving) probeDue(now time.Duration) bool {
	return l.active() && !l.confirmed && now >= l.nextProbe
}

// applyProbe applies the result of a probe and reports whether the upstream returns.
func (l *leaving) applyProbe(ok bool, now time.Duration) bool {
	if !l.active() || l.confirmed || now-l.since < leavingReturnDelay || !ok {
		return false
	}
	*l = leaving{}
	return true
}
