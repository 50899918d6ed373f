package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// System reads the clocks of the operating system.
type System struct {
	origin time.Time
}

// NewSystem returns a clock whose monotonic origin is now.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now returns the current instant. Where the boot-time clock cannot be read,
// its reading equals the monotonic one.
func (s *System) Now() Instant {
	now := time.Now()
	mono := now.Sub(s.origin)
	return Instant{Mono: mono, Boot: bootTime(mono), Wall: time.Duration(now.UnixNano())}
}

func bootTime(fallback time.Duration) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback
	}
	return time.Duration(ts.Nano())
}
