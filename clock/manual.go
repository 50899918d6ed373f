package clock

import (
	"sync"
	"time"
)

// Manual is a clock for tests that moves only by calls of its methods. Its zero
// value is ready to use. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now Instant
}

// Now returns the current instant.
func (m *Manual) Now() Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves all three clocks forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

// Suspend moves the boot-time and wall clocks forward by d and leaves the monotonic clock
// unchanged, as a suspension of the VM does.
func (m *Manual) Suspend(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Boot += d
	m.now.Wall += d
}

// AdjustWall moves only the wall clock by d, which may be negative.
func (m *Manual) AdjustWall(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now.Wall += d
}
