package steering

// RecordIdleClose records that the upstream closed an idle connection. A connection
// that is refused shortly afterwards then means that the upstream is leaving.
func (t *Target) RecordIdleClose() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.leaving.idleClosed, t.leaving.idleClosedAt = true, t.pool.now
}

// RecordProbe applies the result of a probe requested by ProbesDue. ok means that the
// upstream answered and does not announce that it is leaving.
func (t *Target) RecordProbe(ok bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.removed || !t.leaving.applyProbe(ok, t.pool.now) {
		return
	}
	t.pool.readmit(t)
	t.pool.rebuild()
}

// Leaving reports whether any signal says that the upstream is leaving.
func (t *Target) Leaving() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.leaving.active()
}

// ProbesDue returns the leaving upstreams that are still listed as live and may return
// after a successful probe. Each is returned once per probe interval.
func (s *Steerer) ProbesDue() []*Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []*Target
	for _, id := range sortedKeys(s.targets) {
		if t := s.targets[id]; t.probeDue() {
			due = append(due, t)
		}
	}
	return due
}

// probeDue reports whether a probe is due and schedules the next one.
func (t *Target) probeDue() bool {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if !t.leaving.probeDue(t.pool.now) {
		return false
	}
	t.leaving.nextProbe = t.pool.now + probeInterval
	return true
}
