package continuity

import (
	"context"
	"sync"
	"time"

	"pistachiomount.example/pistachiomount/clock"
)

const (
	// MinPause is the shortest time without a sign of life that counts as a pause. A shorter one has the effect of a
	// slow call: polls are answered within 1.5 s in a process that runs.
	MinPause = time.Second
	// checkInterval is how often a process without requests shows that it runs. A process that gets a small part of a
	// core may be late by several of these.
	checkInterval = 200 * time.Millisecond
)

// Monitor records the pauses of the process. It is safe for concurrent use.
type Monitor struct {
	clock   clock.Clock
	onPause func(length time.Duration)

	mu     sync.Mutex
	seenAt clock.Instant // when the process was last known to run
	run    Run
	paused time.Duration
}

// New returns a Monitor whose first run begins now. onPause is called after each pause with its length, by the goroutine
// that finds it; it may be nil.
func New(c clock.Clock, onPause func(length time.Duration)) *Monitor {
	now := c.Now()
	return &Monitor{clock: c, onPause: onPause, seenAt: now, run: Run{Began: now}}
}

// Watch looks for pauses until the context ends, for times in which nothing else asks.
func (m *Monitor) Watch(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.Current()
		}
	}
}

// Current returns the run in which it is called. It begins a new one if the process was paused since the last call.
func (m *Monitor) Current() Run {
	run, pause := m.observe()
	if pause > 0 && m.onPause != nil {
		m.onPause(pause)
	}
	return run
}

// observe returns the current run, and the length of the pause that it has found.
func (m *Monitor) observe() (Run, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	gap := now.ElapsedSince(m.seenAt)
	m.seenAt = now
	if gap < MinPause {
		return m.run, 0
	}
	m.run = Run{Number: m.run.Number + 1, Began: now}
	m.paused += gap
	return m.run, gap
}

// Paused returns the number of pauses and their total length.
func (m *Monitor) Paused() (count uint64, total time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.run.Number, m.paused
}
