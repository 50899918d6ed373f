package steering

import "time"

// Use tells what is done with an upstream and why.
type Use string

// Uses of an upstream. The signals of leaving are kept apart because they differ
// in what brings the upstream back.
const (
	UseFull            Use = "full"
	UseWarming         Use = "warming"
	UseEjected         Use = "ejected"
	UseDrained         Use = "drained"
	UsePlatformLeaving Use = "leaving: platform list"
	UseInBandLeaving   Use = "leaving: announced by the upstream"
	UseRefusedLeaving  Use = "leaving: connections refused"
)

// UpstreamStatus is the state of one upstream, for status pages.
type UpstreamStatus struct {
	Upstream Upstream
	Use      Use
	InFlight int
	// RequestsPerSecond counts attempts of this VM only.
	RequestsPerSecond float64
	// Latency is the moving average of own requests, zero while unknown.
	Latency time.Duration
	// Failures counts consecutive failures and rejections.
	Failures int
	// EjectedFor is how much longer the upstream stays ejected.
	EjectedFor time.Duration
}

// UpstreamStatuses returns the state of every listed upstream in order of the IDs.
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
		Upstream: t.info, Use: t.use(), InFlight: t.InFlight(), RequestsPerSecond: t.rate,
		Latency: t.health.latency, Failures: t.health.failures,
	}
	if t.health.ejected {
		st.EjectedFor = max(0, t.health.until-t.pool.now)
	}
	return st
}

// use returns the reason that counts first. Pool.mu is held.
func (t *Target) use() Use {
	switch {
	case t.leaving.signal == leavingByPlatform:
		return UsePlatformLeaving
	case t.leaving.signal == leavingInBand:
		return UseInBandLeaving
	case t.leaving.signal == leavingRefused:
		return UseRefusedLeaving
	case t.drained:
		return UseDrained
	case t.health.ejected:
		return UseEjected
	case t.warmFrom >= 0:
		return UseWarming
	default:
		return UseFull
	}
}
