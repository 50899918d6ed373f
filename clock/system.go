package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxBootSampleAge is how long a reading of the boot-time clock is extended by
	// the monotonic one. Reading it takes a system call, which was half of the
	// cost of a routing decision. Leases leave a margin of 60 ms for drift, so
	// seeing a suspension up to 5 ms late is covered.
	maxBootSampleAge = 5 * time.Millisecond
	// wallJumpThreshold is the change between wall and monotonic clock that shows a
	// suspension at once, before the sample is that old.
	wallJumpThreshold = time.Millisecond
)

// System reads the clocks of the operating system.
type System struct {
	origin time.Time
	// ignoreWall leaves the wall clock out of instants.
	ignoreWall bool
	sample     atomic.Pointer[bootSample]
}

// bootSample relates the clocks at one moment.
type bootSample struct {
	mono       time.Duration
	boot       time.Duration
	wallOffset time.Duration // wall minus monotonic
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
	return &System{origin: time.Now(), ignoreWall: true}
}

// Now returns the current instant. Where the boot-time clock cannot be read,
// its reading equals the monotonic one.
func (s *System) Now() Instant {
	now := time.Now()
	mono := now.Sub(s.origin)
	wall := time.Duration(now.UnixNano())
	boot := s.boot(mono, wall)
	if s.ignoreWall {
		wall = boot
	}
	return Instant{Mono: mono, Boot: boot, Wall: wall}
}

func (s *System) boot(mono, wall time.Duration) time.Duration {
	offset := wall - mono
	last := s.sample.Load()
	if last != nil && mono-last.mono < maxBootSampleAge && (offset-last.wallOffset).Abs() < wallJumpThreshold {
		return last.boot + max(0, mono-last.mono)
	}
	boot := readBootTime(mono)
	s.sample.Store(&bootSample{mono: mono, boot: boot, wallOffset: offset})
	return boot
}

func readBootTime(fallback time.Duration) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return fallback
	}
	return time.Duration(ts.Nano())
}
