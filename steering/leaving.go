package steering

import "time"

// leavingSignal is the first sign that an upstream is leaving.
type leavingSignal uint8

const (
	notLeaving leavingSignal = iota
	leavingByPlatform
	leavingInBand
	leavingRefused
)

const (
	// refusedAfterClose is how soon a refused connection must follow the close of an
	// idle one to mean that the upstream is leaving; a refused connection alone is
	// a failure.
	refusedAfterClose = 5 * time.Second
	// leavingReturnDelay is when an upstream that the platform has listed as live all along
	// may come back after a successful probe. The platform's list lags, so until
	// then its entry proves nothing.
	leavingReturnDelay = 60 * time.Second
	// probeInterval separates probes of one upstream.
	probeInterval = 10 * time.Second
)

// leaving tells whether and why an upstream gets no new work. Pool.mu guards it.
type leaving struct {
	signal    leavingSignal
	since     time.Duration
	confirmed bool // the platform has listed it as leaving
	nextProbe time.Duration

	idleClosed   bool // an idle connection was closed by the upstream
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

// applyListedState takes over the platform's state and reports whether the upstream comes back.
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

// refusalMeansLeaving reports whether a refusalMeansLeaving connection is a sign of leaving.
func (l *leaving) refusalMeansLeaving(now time.Duration) bool {
	return l.idleClosed && now-l.idleClosedAt <= refusedAfterClose
}

func (l *leaving) probeDue(now time.Duration) bool {
	return l.active() && !l.confirmed && now >= l.nextProbe
}

// applyProbe takes over the result of a probe and reports whether the upstream comes back.
func (l *leaving) applyProbe(ok bool, now time.Duration) bool {
	if !l.active() || l.confirmed || now-l.since < leavingReturnDelay || !ok {
		return false
	}
	*l = leaving{}
	return true
}
