package steering

import "time"

// ServingState tells whether an upstream gets requests and, if not, why.
type ServingState string

// Serving states of an upstream. The leaving signals are separate states because they
// differ in what lets the upstream return.
const (
	ServingFull            ServingState = "full"
	ServingWarming         ServingState = "warming"
	ServingEjected         ServingState = "ejected"
	ServingDrained         ServingState = "drained"
	ServingPlatformLeaving ServingState = "leaving: platform list"
	ServingInBandLeaving   ServingState = "leaving: announced by the upstream"
	ServingRefusedLeaving  ServingState = "leaving: connections refused"
)

// UpstreamStatus is the state of one upstream, for status output.
type UpstreamStatus struct {
	Upstream Upstream
	State    ServingState
	InFlight int
	// RequestsPerSecond counts attempts of this VM only.
	RequestsPerSecond float64
	// Latency is the moving average over requests of this VM, zero while unknown.
	Latency time.Duration
	// Failures counts consecutive failures and rejections.
	Failures int
	// EjectedFor is the remaining time of the ejection.
	EjectedFor time.Duration
}

// UpstreamStatuses returns the state of every listed upstream, ordered by ID.
func (s *Steerer) UpstreamStatuses() []UpstreamStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]UpstreamStatus, 0, len(s.targets))
	for _, id := range sortedKeys(s.targets) {
		out = append(out, s.targets[id].status())
	}
	return out
}

func (t *Target) status() UpstreamStatus {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	st := UpstreamStatus{
		Upstream: t.info, State: t.servingState(), InFlight: t.InFlight(), RequestsPerSecond: t.rate,
		Latency: t.health.latency, Failures: t.health.consecutiveFailures,
	}
	if t.health.ejected {
		st.EjectedFor = max(0, t.health.ejectedUntil-t.pool.now)
	}
	return st
}

// servingState returns the state of highest precedence. Pool.mu is held.
func (t *Target) servingState() ServingState {
	switch {
	case t.leaving.signal == leavingByPlatform:
		return ServingPlatformLeaving
	case t.leaving.signal == leavingInBand:
		return ServingInBandLeaving
	case t.leaving.signal == leavingRefused:
		return ServingRefusedLeaving
	case t.drained:
		return ServingDrained
	case t.health.ejected:
		return ServingEjected
	case t.slowStartAt >= 0:
		return ServingWarming
	default:
		return ServingFull
	}
}
