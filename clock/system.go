package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// bootSampleAge is how long a reading of the boot-time clock is extended by
	// the monotonic one. Reading it takes a system call, which was half of the
	// cost of a routing decision. Leases leave a margin of 60 ms for drift, so
	// seeing a suspension up to 5 ms late is covered.
	bootSampleAge = 5 * time.Millisecond
	// wallJump is the change between wall and monotonic clock that shows a
	// suspension at once, before the sample is that old.
	wallJump = time.Millisecond
)

// System reads the clocks of the operating system.
type System struct {
	origin time.Time
	// steady leaves the wall clock out of instants.
	steady bool
	sample atomic.Pointer[bootSample]
}

// bootSample relates the clocks at one moment.
type bootSample struct {
	mono      time.Duration
	boot      time.Duration
	wallAhead time.Duration // wall minus monotonic
}

// NewSystem returns a clock whose monotonic origin is now.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// NewSystemWithoutWall returns a clock without the time of day: both of its other readings
// serve in its place. It is for VMs whose time of day jumps by seconds, which
// would end every lease and start elections. Suspension is seen by the boot-time
// clock.
func NewSystemWithoutWall() *System {
	return &System{origin: time.Now(), steady: true}
}

// Now returns the current instant. Where the boot-time clock cannot be read,
// its reading equals the monotonic one.
func (s *System) Now() Instant {
	now := time.Now()
	mono := now.Sub(s.origin)
	wall := time.Duration(now.UnixNano())
	boot := s.boot(mono, wall)
	if s.steady {
		wall = boot
	}
	return Instant{Mono: mono, Boot: boot, Wall: wall}
}

func (s *System) boot(mono, wall time.Duration) time.Duration {
	ahead := wall - mono
	last := s.sample.Load()
	if last != nil && mono-last.mono < bootSampleAge && (ahead-last.wallAhead).Abs() < wallJump {
		return last.boot + max(0, mono-last.mono)
	}
	boot := bootTime(mono)
	s.sample.Store(&bootSample{mono: mono, boot: boot, wallAhead: ahead})
	return boot
}

func bootTime(fallback time.Duration) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback
	}
	return time.Duration(ts.Nano())
}
